/* corecost.h - CPU time per step of a core, without I/O. */
#ifndef BS_CORECOST_H
#define BS_CORECOST_H

#include <jansson.h>

/* Sends lookups through one core; returns a new JSON object with the CPU time
   per step and per request in microseconds. */
json_t *BsCoreCost_Measure(void);

#endif /* BS_CORECOST_H */
