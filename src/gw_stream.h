/*
 * gw_stream.h - a non-blocking TCP connection with buffered writes.
 *
 * Rules: a stream owns its socket.  After BsStream_Destroy() no event is
 * delivered, also when it is called from one of the stream's own events.
 */
#ifndef BS_GW_STREAM_H
#define BS_GW_STREAM_H

#include "boragespur.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct BsStream BsStream;

/* What happens on a stream.  Any member but on_data and on_end may be NULL. */
typedef struct {
    void (*on_connected)(void *context);
    void (*on_data)(const char *data, size_t size_bytes, void *context);
    /* All written bytes have been given to the kernel. */
    void (*on_drained)(void *context);
    /* The peer closed (ERROR_NUMBER 0) or the connection failed. */
    void (*on_end)(int error_number, void *context);
} BsStreamEvents;

/* Starts connecting to ADDRESS; NULL with errno set when no socket can be
   had. */
BsStream *BsStream_Connect(struct ev_loop *loop,
                           const struct sockaddr_in *address,
                           const BsStreamEvents *events, void *context);

/* Takes over the connected socket FD. */
BsStream *BsStream_Adopt(struct ev_loop *loop, int fd,
                         const BsStreamEvents *events, void *context);

/* Closes at once and frees; NULL is allowed. */
void BsStream_Destroy(BsStream *stream);

/* Sends what is buffered, then closes and frees; no event is delivered any
   more.  What is not sent within LIMIT_S seconds is dropped. */
void BsStream_CloseWhenSent(BsStream *stream, double limit_s);

/* Returns how many bytes streams have not sent yet that close by themselves.
 */
size_t BsStream_ClosingBytes(void);

/* Frees the streams that close by themselves, at the end of the process.  What
   they have not sent is sent first, within LIMIT_S seconds for each. */
void BsStream_EndClosing(unsigned limit_s);

/* Closes with a reset, so that the peer sees the message end early. */
void BsStream_Abort(BsStream *stream);

/* Writes or buffers DATA. */
void BsStream_Write(BsStream *stream, const char *data, size_t size_bytes);

/* Sends what is buffered, then ends the writing side; reading goes on.
   Nothing may be written after it. */
void BsStream_EndWrites(BsStream *stream);

/* Returns the bytes that the kernel has not taken yet. */
size_t BsStream_PendingBytes(const BsStream *stream);

/* Returns whether nothing waits to be read, neither bytes nor an end. */
bool BsStream_IsQuiet(const BsStream *stream);

/* Stops or resumes reading. */
void BsStream_SetReading(BsStream *stream, bool reading);

#endif /* BS_GW_STREAM_H */
