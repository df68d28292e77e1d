/* Loaded with LD_PRELOAD: lets system calls on sockets fail as environment variables say.

   FAIL_ACCEPT="ERRNO EVERY": each EVERYth accept fails. FAIL_LISTEN="ERRNO COUNT": the first COUNT calls fail. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

struct fault {
    int number;
    int count;
    int calls;
};

static struct fault accept_fault = {-1, 0, 0};
static struct fault listen_fault = {-1, 0, 0};

static void read_fault(struct fault *fault, const char *name) {
    const char *text = getenv(name);
    if (fault->number >= 0)
        return;
    fault->number = 0;
    if (text != NULL && sscanf(text, "%d %d", &fault->number, &fault->count) != 2)
        abort();
}

static int fails_accept(void) {
    read_fault(&accept_fault, "FAIL_ACCEPT");
    if (!accept_fault.number || ++accept_fault.calls % accept_fault.count)
        return 0;
    errno = accept_fault.number;
    return 1;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (next == NULL)
        next = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    return fails_accept() ? -1 : next(descriptor, address, size, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *size) {
    static int (*next)(int, struct sockaddr *, socklen_t *);
    if (next == NULL)
        next = (int (*)(int, struct sockaddr *, socklen_t *))dlsym(RTLD_NEXT, "accept");
    return fails_accept() ? -1 : next(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
    static int (*next)(int, int);
    if (next == NULL)
        next = (int (*)(int, int))dlsym(RTLD_NEXT, "listen");
    read_fault(&listen_fault, "FAIL_LISTEN");
    if (listen_fault.number && listen_fault.calls++ < listen_fault.count) {
        errno = listen_fault.number;
        return -1;
    }
    return next(descriptor, backlog);
}
