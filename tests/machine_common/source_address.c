/* A machine's own address, for a process that shares its machine with others: connections of a process come from the
 * address that TEALCLEAT_SOURCE names, so that whoever takes them knows whose they are. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int connect(int file, const struct sockaddr *to, socklen_t length) {
    struct sockaddr_in from = {.sin_family = AF_INET};
    const char *source = getenv("TEALCLEAT_SOURCE");
    int type = 0, on = 1;
    socklen_t size = sizeof type;
    int is_stream = getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    if (source && is_stream && to->sa_family == AF_INET && inet_pton(AF_INET, source, &from.sin_addr) == 1) {
        /* The port is chosen with the other end known, or there would be too few. */
        setsockopt(file, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        if (bind(file, (struct sockaddr *)&from, sizeof from) != 0) return -1;
    }
    return (int)syscall(SYS_connect, file, to, length);
}
