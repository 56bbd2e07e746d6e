/*
 * Fails the network calls of a process now and then, in ways that their manual pages allow.
 *
 * Loaded with LD_PRELOAD. SYSTEM_FAULTS_PER_MILLE tells how many of a thousand calls fail, SYSTEM_FAULTS_SEED
 * which ones. Reads and writes are interrupted or short; accept, socket and connect lack resources for a moment.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>

static _Atomic uint64_t state;

static uint64_t from_environment(const char *name, uint64_t otherwise)
{
    const char *value = getenv(name);
    return value ? strtoull(value, NULL, 10) : otherwise;
}

/* A step of a Weyl sequence, mixed. */
static uint64_t next_random(void)
{
    uint64_t value = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

__attribute__((constructor)) static void begin(void)
{
    atomic_store(&state, from_environment("SYSTEM_FAULTS_SEED", 1));
}

static int due(void)
{
    static uint64_t per_mille = UINT64_MAX;
    if (per_mille == UINT64_MAX)
        per_mille = from_environment("SYSTEM_FAULTS_PER_MILLE", 0);
    return next_random() % 1000 < per_mille;
}

static int fail(const int *errors, size_t count)
{
    errno = errors[next_random() % count];
    return -1;
}

#define FAIL(errors) fail(errors, sizeof(errors) / sizeof(errors[0]))
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static size_t shortened(size_t length)
{
    return length > 1 ? 1 + next_random() % (length - 1) : length;
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags)
{
    if (due()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = shortened(length < 64 ? length : 64);
    }
    return REAL(recv)(descriptor, buffer, length, flags);
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags)
{
    if (due()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = shortened(length);
    }
    return REAL(send)(descriptor, buffer, length, flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    if (count > 0 && parts[0].iov_len > 0 && due()) {
        struct iovec first = {parts[0].iov_base, shortened(parts[0].iov_len)};
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        return REAL(writev)(descriptor, &first, 1);
    }
    return REAL(writev)(descriptor, parts, count);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    static const int errors[] = {EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return due() ? FAIL(errors) : REAL(accept4)(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return due() ? FAIL(errors) : REAL(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EINTR, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    return due() ? FAIL(errors) : REAL(connect)(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    if (due()) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(descriptor, events, most, timeout);
}
