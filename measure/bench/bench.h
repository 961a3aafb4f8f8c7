/* The parts of `make bench'.  */

#ifndef GALENAFORD_TEST_BENCH_H
#define GALENAFORD_TEST_BENCH_H

#include <stdbool.h>

/* Each prints its figures and returns false when it could not run.  */
bool bench_decisions (void);
bool bench_codec (void);
bool bench_flow_bytes (void);
bool bench_path (void);
bool bench_report (void);

#endif
