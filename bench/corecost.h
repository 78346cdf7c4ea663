/* corecost.h - processor time of a core's steps, without input or output. */
#ifndef BS_CORECOST_H
#define BS_CORECOST_H

#include <jansson.h>

/* Sends lookups through one core and returns the time of a step. */
json_t *BsCoreCost_Measure(void);

#endif /* BS_CORECOST_H */
