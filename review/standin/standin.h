/*
 * standin.h - stand-ins of the platform's store, of runners and of clients for
 * the cases of the review.  They speak HTTP/1.1 with blocking sockets and one
 * thread for each connection; all addresses are loopback addresses.
 */
#ifndef RV_STANDIN_H
#define RV_STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RV_HEAD_MAX 8192
#define RV_BODY_MAX 65536

/* ---------------------------------------------------------------- record */

/* Opens record.txt in the folder PATH; times count from now on. */
void Rv_Open(const char *path);

/* Returns the milliseconds since Rv_Open(). */
int64_t Rv_NowMs(void);

/* Appends a line with the time to the record. */
void Rv_Note(const char *format, ...) __attribute__((format(printf, 1, 2)));

void Rv_SleepMs(int64_t ms);

/* Prints MESSAGE and ends with exit code 2: the case could not run. */
_Noreturn void Rv_GiveUp(const char *message);

/* Returns whether the disruption is to be played: TROUBLE is not "0". */
bool Rv_HasTrouble(void);

/* --------------------------------------------------------------- sockets */

/* Returns a socket that listens at ADDRESS and PORT; 0 picks a free port,
   which is stored in PORT. */
int Rv_Listen(const char *address, uint16_t *port);

/* Returns a connected socket, or -1. */
int Rv_Connect(const char *address, uint16_t port);

/* A message read from a socket. */
typedef struct {
    char head[RV_HEAD_MAX]; /* start line and headers, ends with CR LF */
    char body[RV_BODY_MAX + 1];
    size_t body_bytes;
    bool complete; /* the body has arrived whole */
} RvMessage;

/* Bytes that were read from a socket and not used yet. */
typedef struct {
    int fd;
    char data[RV_BODY_MAX];
    size_t bytes;
} RvReader;

/* Reads the next message; returns false when the connection ended before its
   head was complete, or nothing arrived for TIMEOUT_MS (0: no limit). */
bool Rv_Read(RvReader *reader, RvMessage *message, int timeout_ms);

/* Copies the value of the header NAME; returns false when there is none. */
bool Rv_Header(const RvMessage *message, const char *name, char *value,
               size_t size);

bool Rv_Write(int fd, const char *data, size_t size);

/* ----------------------------------------------------------------- store */

/* Starts a store that serves COUNT machines, each at an address of its own:
   127.0.1.1 and up. */
void RvStore_Start(unsigned count);

uint16_t RvStore_Port(void);

/* Writes a key, or removes it (VALUE is NULL); returns when that is
   acknowledged, on the clock of Rv_NowMs(). */
int64_t RvStore_Put(const char *key, const char *value);

/* Sets whether the store answers MACHINE (from 0), or lets its calls hang. */
void RvStore_SetAnswers(unsigned machine, bool answers);

/* -------------------------------------------------------------- gateways */

typedef struct {
    const char *folder; /* for settings and logs */
    const char *zones[4];
    unsigned count; /* gateways, dealt to the zones in turn */
    unsigned zone_count;
} RvFleet;

/* Starts the gateways of FLEET with the command of the deploy file, and waits
   until all are ready. */
void RvFleet_Start(const RvFleet *fleet);

/* Returns the address of clients of gateway INDEX. */
const char *RvFleet_Address(unsigned index);
uint16_t RvFleet_Port(void);

/* Sends SIGNAL to gateway INDEX. */
void RvFleet_Signal(unsigned index, int signal);

/* Ends all gateways. */
void RvFleet_Stop(void);

#endif /* RV_STANDIN_H */
