/*
 * Shared library for LD_PRELOAD that makes network calls of a process fail at random, in ways that their
 * manual pages allow: reads and writes are interrupted or transfer fewer bytes than requested; epoll_wait is
 * interrupted; accept4, socket and connect fail with a temporary error, such as a lack of descriptors.
 *
 * Environment variables:
 * - SYSTEM_FAULTS_PER_MILLE: how many of a thousand calls fail, on average;
 * - SYSTEM_FAULTS_SEED: the seed of the random numbers;
 * - SYSTEM_FAULTS_CLOCK_STEPS: 1 makes the wall clock step at random.
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
#include <time.h>

/* State of the random number generator. */
static _Atomic uint64_t state;

/* Returns the number in an environment variable, or the fallback if the variable is not set. */
static uint64_t from_environment(const char *name, uint64_t fallback)
{
    const char *value = getenv(name);
    return value ? strtoull(value, NULL, 10) : fallback;
}

/* Returns the next random number. SplitMix64: advances a Weyl sequence and mixes its bits. */
static uint64_t next_random(void)
{
    uint64_t value = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

__attribute__((constructor)) static void seed_state(void)
{
    atomic_store(&state, from_environment("SYSTEM_FAULTS_SEED", 1));
}

/* Draws whether the current call fails. */
static int draw_fault(void)
{
    static uint64_t per_mille = UINT64_MAX;
    if (per_mille == UINT64_MAX)
        per_mille = from_environment("SYSTEM_FAULTS_PER_MILLE", 0);
    return next_random() % 1000 < per_mille;
}

/* Sets errno to a random one of these errors and returns -1. */
static int fail(const int *errors, size_t count)
{
    errno = errors[next_random() % count];
    return -1;
}

/* Fails with a random error of an array. */
#define FAIL(errors) fail(errors, sizeof(errors) / sizeof(errors[0]))
/* Looks up the function that the library replaces under this name. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Draws the length of a short read or write, from 1 to length - 1. Lengths of 0 and 1 stay as they are. */
static size_t draw_short_length(size_t length)
{
    return length > 1 ? 1 + next_random() % (length - 1) : length;
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags)
{
    if (draw_fault()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = draw_short_length(length < 64 ? length : 64);
    }
    return REAL(recv)(descriptor, buffer, length, flags);
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags)
{
    if (draw_fault()) {
        if (next_random() % 2) {
            errno = EINTR;
            return -1;
        }
        length = draw_short_length(length);
    }
    return REAL(send)(descriptor, buffer, length, flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    if (count > 0 && parts[0].iov_len > 0 && draw_fault()) {
        struct iovec first = {parts[0].iov_base, draw_short_length(parts[0].iov_len)};
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
    return draw_fault() ? FAIL(errors) : REAL(accept4)(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return draw_fault() ? FAIL(errors) : REAL(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EINTR, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    return draw_fault() ? FAIL(errors) : REAL(connect)(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int max_events, int timeout)
{
    if (draw_fault()) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(descriptor, events, max_events, timeout);
}

/* Possible offsets of the wall clock from the real time, in seconds. */
static const int clock_steps[] = {0, -3700, -60, -5, 5, 60, 3700};

/* On average, one in this number of readings of the wall clock draws a new offset. */
#define READINGS_PER_STEP 64

int clock_gettime(clockid_t clock, struct timespec *time)
{
    static int steps = -1;
    static _Atomic int offset;
    int result = REAL(clock_gettime)(clock, time);
    if (steps < 0)
        steps = (int)from_environment("SYSTEM_FAULTS_CLOCK_STEPS", 0);
    if (result != 0 || clock != CLOCK_REALTIME || !steps)
        return result;
    if (next_random() % READINGS_PER_STEP == 0)
        offset = clock_steps[next_random() % (sizeof(clock_steps) / sizeof(clock_steps[0]))];
    time->tv_sec += offset;
    return result;
}
