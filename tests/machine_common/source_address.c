/* A machine's own address, for a process that shares its machine with others: connections of a process come from the
 * address that TEALCLEAT_SOURCE names, so that whoever takes them knows whose they are.
 *
 * The machine may also lose its way to the servers, whose addresses begin with 127.4. The first byte of the file that
 * TEALCLEAT_SERVER_CUT names tells how new connections to them end: with h they hang, at the port of TEALCLEAT_UNANSWERED,
 * which answers no connection; with r they are refused. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define SERVER_NETWORK 0x7f040000
#define SERVER_MASK 0xffff0000
/* Nothing listens at this port. */
#define REFUSED_PORT 1

static char server_cut(void) {
    const char *path = getenv("TEALCLEAT_SERVER_CUT");
    char kind = 0;
    if (!path) return 0;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return 0;
    if (read(file, &kind, 1) != 1) kind = 0;
    close(file);
    return kind;
}

int connect(int file, const struct sockaddr *to, socklen_t length) {
    struct sockaddr_in from = {.sin_family = AF_INET};
    struct sockaddr_in other;
    const char *source = getenv("TEALCLEAT_SOURCE");
    int type = 0, on = 1;
    socklen_t size = sizeof type;
    int is_stream = getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    if (source && is_stream && to->sa_family == AF_INET && inet_pton(AF_INET, source, &from.sin_addr) == 1) {
        /* The port is chosen with the other end known, or there would be too few. */
        setsockopt(file, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        if (bind(file, (struct sockaddr *)&from, sizeof from) != 0) return -1;
    }
    if (is_stream && to->sa_family == AF_INET) {
        other = *(const struct sockaddr_in *)to;
        int is_server = (ntohl(other.sin_addr.s_addr) & SERVER_MASK) == SERVER_NETWORK;
        char kind = is_server ? server_cut() : 0;
        const char *unanswered = getenv("TEALCLEAT_UNANSWERED");
        if (kind == 'h' && unanswered) other.sin_port = htons((unsigned short)atoi(unanswered));
        if (kind == 'r') other.sin_port = htons(REFUSED_PORT);
        if (kind == 'h' || kind == 'r') {
            other.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            to = (struct sockaddr *)&other;
        }
    }
    return (int)syscall(SYS_connect, file, to, length);
}
