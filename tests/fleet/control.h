/* control.h - blocking HTTP calls to the control ports of stand-ins and to
 * admin ports. */
#ifndef BS_CONTROL_H
#define BS_CONTROL_H

#include <jansson.h>

/* Sends METHOD to 127.0.0.1:PORT with BODY, which may be NULL; returns the
   HTTP status, 0 if there was no answer.  TEXT, which may be NULL, is set to
   the answer's body; g_free() it. */
long BsControl_Call(const char *method, int port, const char *path,
                    const char *body, char **text);

/* Gets PATH from PORT as JSON; NULL if there is none.  The caller owns it. */
json_t *BsControl_GetJson(int port, const char *path);

/* Returns the sum of the metric NAME of an admin port over all labels; -1 if
   it cannot be read.  NAME lacks the prefix "boragespur_". */
long long BsControl_Metric(int port, const char *name);

#endif /* BS_CONTROL_H */
