/* control.h - short blocking calls to control and admin addresses. */
#ifndef BS_CONTROL_H
#define BS_CONTROL_H

#include <jansson.h>

/* Sends METHOD to 127.0.0.1:PORT with BODY, which may be NULL; returns the
   status, 0 when there was no answer.  TEXT, which may be NULL, is set to the
   answer's body; g_free() it. */
long BsControl_Call(const char *method, int port, const char *path,
                    const char *body, char **text);

/* Reads JSON from PORT; NULL when it is not to be had. */
json_t *BsControl_GetJson(int port, const char *path);

/* Returns the sum of a metric of an admin port over all its labels; -1 when
   it cannot be read.  NAME carries no prefix. */
long long BsControl_Metric(int port, const char *name);

#endif /* BS_CONTROL_H */
