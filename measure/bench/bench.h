/* The benchmarks that `make bench' runs.  */

#ifndef GALENAFORD_TEST_BENCH_H
#define GALENAFORD_TEST_BENCH_H

#include <stdbool.h>

/* Each runs one benchmark and prints its figures.  Returns false when it could
   not run.  */
bool bench_decisions (void);
bool bench_codec (void);
bool bench_flow_bytes (void);
bool bench_path (void);
bool bench_report (void);

#endif
