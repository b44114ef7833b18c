/*
 * Library that is preloaded into a balancer by hand (docs/testbed.md) to make system calls fail in
 * ways that Linux documents, and to step the wall clock. Seeded: FAULTS_SEED. FAULTS_PERCENT of the
 * calls of accept, connect and socket fail; as many reads and writes are short. The wall clock is
 * stepped by up to an hour every FAULTS_STEP_MS; the monotonic clock runs on.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t state;
static int percent = -1;
static long step_ms;

static void configure(void) {
    if (percent < 0) {
        const char *seed = getenv("FAULTS_SEED");
        const char *share = getenv("FAULTS_PERCENT");
        const char *step = getenv("FAULTS_STEP_MS");
        state = seed ? strtoull(seed, NULL, 10) * 0x9e3779b97f4a7c15ULL + 1 : 1;
        step_ms = step ? atol(step) : 0;
        percent = share ? atoi(share) : 0;
    }
}

static uint32_t next_random(void) {
    uint64_t x = __atomic_add_fetch(&state, 0x9e3779b97f4a7c15ULL, __ATOMIC_RELAXED);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return (uint32_t) (x >> 33);
}

static int fails(void) {
    configure();
    return percent > 0 && next_random() % 100 < (uint32_t) percent;
}

static int is_stream_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, #name)

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, accept, int, struct sockaddr *, socklen_t *);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (fails()) {
        errno = errors[next_random() % 4];
        return -1;
    }
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (fails()) {
        errno = errors[next_random() % 4];
        return -1;
    }
    return real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
    if (fails()) {
        errno = errors[next_random() % 4];
        return -1;
    }
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    static const int errors[] = {ENFILE, ENOBUFS};
    if ((type & 0xf) == SOCK_STREAM && fails()) {
        errno = errors[next_random() % 2];
        return -1;
    }
    return real(domain, type, protocol);
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(ssize_t, read, int, void *, size_t);
    if (count > 1 && is_stream_socket(fd) && fails()) count = 1 + next_random() % (count - 1);
    return real(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(ssize_t, write, int, const void *, size_t);
    struct stat status;
    if (fstat(fd, &status) == 0 && S_ISREG(status.st_mode) && fails()) {
        errno = next_random() % 2 ? ENOSPC : EIO;
        return -1;
    }
    if (count > 1 && is_stream_socket(fd) && fails()) count = 1 + next_random() % (count - 1);
    return real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int);
    if (count > 1 && is_stream_socket(fd) && fails()) count = 1 + next_random() % (count - 1);
    return real(fd, parts, count);
}

int fsync(int fd) {
    REAL(int, fsync, int);
    if (fails()) {
        errno = EIO;
        return -1;
    }
    return real(fd);
}

static void monotonic(struct timespec *now);

static long wall_clock_offset_s(void) {
    struct timespec now;
    configure();
    if (step_ms <= 0) return 0;
    monotonic(&now);
    uint64_t window = (uint64_t) (now.tv_sec * 1000 + now.tv_nsec / 1000000) / step_ms;
    window = (window ^ (window >> 5)) * 0x9e3779b97f4a7c15ULL;
    return (long) (window >> 40) % 7201 - 3600;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) now->tv_sec += wall_clock_offset_s();
    return result;
}

static void monotonic(struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    real(CLOCK_MONOTONIC, now);
}

int gettimeofday(struct timeval *now, void *zone) {
    REAL(int, gettimeofday, struct timeval *, void *);
    int result = real(now, zone);
    if (result == 0) now->tv_sec += wall_clock_offset_s();
    return result;
}
