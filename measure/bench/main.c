/* Runs all benchmarks, or the one named, and prints their figures.
   Usage: bench [NAME]  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

struct bench
{
  const char *name;
  bool (*run) (void);
};

static const struct bench BENCHES[] = {
  { "decisions", bench_decisions },   { "codec", bench_codec },
  { "flow-bytes", bench_flow_bytes }, { "path", bench_path },
  { "report", bench_report },
};

int
main (int argc, char **argv)
{
  bool good = true;

  setvbuf (stdout, NULL, _IOLBF, 0);
  for (size_t i = 0; i < sizeof BENCHES / sizeof BENCHES[0]; i++)
    {
      if (argc > 1 && strcmp (argv[1], BENCHES[i].name) != 0)
        continue;
      if (BENCHES[i].run ())
        continue;
      printf ("%s: failed to run\n", BENCHES[i].name);
      good = false;
    }
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
