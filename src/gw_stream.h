/*
 * gw_stream.h - a non-blocking TCP connection with buffered writes.
 *
 * Rules: a stream owns its socket.  After BsStream_Destroy() no callback is
 * called, even when it is called from one of the stream's own callbacks.
 */
#ifndef BS_GW_STREAM_H
#define BS_GW_STREAM_H

#include "boragespur.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct BsStream BsStream;

/* Callbacks of a stream.  Any member but on_data and on_end may be NULL. */
typedef struct {
    void (*on_connected)(void *context);
    void (*on_data)(const char *data, size_t size_bytes, void *context);
    /* All written bytes have been given to the kernel. */
    void (*on_drained)(void *context);
    /* The peer closed the connection (ERROR_NUMBER is 0) or it failed
       (ERROR_NUMBER is an errno). */
    void (*on_end)(int error_number, void *context);
} BsStreamEvents;

/* Starts connecting to ADDRESS.  Returns NULL with errno set when no socket
   could be created or connect() failed at once. */
BsStream *BsStream_Connect(struct ev_loop *loop,
                           const struct sockaddr_in *address,
                           const BsStreamEvents *events, void *context);

/* Creates a stream that owns the connected, non-blocking socket FD. */
BsStream *BsStream_Adopt(struct ev_loop *loop, int fd,
                         const BsStreamEvents *events, void *context);

/* Closes STREAM at once and frees it; NULL is allowed.  Buffered bytes are
   dropped. */
void BsStream_Destroy(BsStream *stream);

/* Sends the buffered bytes, then closes and frees STREAM, without further
   callbacks.  When the peer takes none of the buffered bytes for LIMIT_S
   seconds, at the latest for twice as long, they are dropped, and the
   connection ends with a reset. */
void BsStream_CloseWhenSent(BsStream *stream, double limit_s);

/* Shuts down the writing side of STREAM, which must have no undelivered bytes,
   and frees it once the peer has closed or LIMIT_S seconds have passed,
   without further callbacks.  Reads nothing more: bytes that still arrive make
   the kernel reset the connection, so that the peer knows that they were not
   read. */
void BsStream_CloseUnread(BsStream *stream, double limit_s);

/* Sets a function that is called with CONTEXT when STREAM, which must have
   been given to BsStream_CloseWhenSent() or BsStream_CloseUnread(), is freed.
 */
void BsStream_SetOnFreed(BsStream *stream, void (*on_freed)(void *context),
                         void *context);

/* Closes STREAM at once and frees it, with a TCP reset when buffered bytes are
   dropped. */
void BsStream_CloseNow(BsStream *stream);

/* Returns how many streams given to BsStream_CloseUnread() were closed with
   bytes left unread. */
uint64_t BsStream_UnreadCloses(void);

/* Returns the unsent bytes of all streams given to
   BsStream_CloseWhenSent(). */
size_t BsStream_ClosingBytes(void);

/* Frees the streams given to BsStream_CloseWhenSent(); called at the end of
   the process.  Sends their buffered bytes first, blocking for LIMIT_S seconds
   per send(); 0 drops them, and the connection ends with a reset. */
void BsStream_EndClosing(unsigned limit_s);

/* Closes with a TCP reset, so that the peer does not take the message for
   complete, and frees STREAM. */
void BsStream_Abort(BsStream *stream);

/* Sends DATA, or buffers what the kernel does not accept.  Failures are
   reported by on_end later, never during the call. */
void BsStream_Write(BsStream *stream, const char *data, size_t size_bytes);

/* Sends the buffered bytes, then shuts down the writing side; reading goes on.
   BsStream_Write() may not be called after it. */
void BsStream_EndWrites(BsStream *stream);

/* Returns the bytes that the kernel has not accepted yet. */
size_t BsStream_PendingBytes(const BsStream *stream);

/* Returns the size of the write buffer. */
size_t BsStream_BufferBytes(const BsStream *stream);

/* Returns the written bytes that the peer has not acknowledged yet. */
size_t BsStream_UndeliveredBytes(const BsStream *stream);

/* Returns whether the connection is open and has no bytes to read. */
bool BsStream_IsIdle(const BsStream *stream);

/* Stops or resumes reading. */
void BsStream_SetReading(BsStream *stream, bool reading);

#endif /* BS_GW_STREAM_H */
