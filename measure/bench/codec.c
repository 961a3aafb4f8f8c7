/* Processor time to encode and to decode one datagram.  */

#include <stdio.h>

#include <galenaford/random.h>
#include <galenaford/tag.h>
#include <galenaford/wire.h>

#include "bench.h"
#include "fixture.h"
#include "sample.h"

enum
{
  ROUNDS = 100000,
  REPEATS = 9
};

struct codec_case
{
  const char *name;
  uint32_t body_bytes;
};

static const struct codec_case CASES[] = {
  { "64 B bodies", 64 },
  { "256 B bodies", 256 },
  { "1024 B bodies", 1024 },
};

static const uint8_t body[GALENA_PART_BYTES];

static struct galena_message
make_request (const struct codec_case *bench_case)
{
  struct galena_random random = { 1, 0 };
  struct galena_message message = { .type = GALENA_MESSAGE_REQUEST };

  message.service = fixture_service_address (7);
  message.caller = (struct galena_endpoint){ 0x7f000001, 40000 };
  message.flow = fixture_flow (&random);
  message.tag = galena_tag_make (2000, 1, 1);
  message.generation = 1000;
  message.request = 1;
  message.total = 1;
  message.deadline_ms = 5000;
  message.body = body;
  message.body_size = bench_case->body_bytes;
  return message;
}

/* Returns the nanoseconds per datagram.  */
static double
time_encode (const struct galena_message *message, uint8_t *bytes,
             size_t *size)
{
  double start_ns = thread_cpu_ns ();

  for (uint32_t i = 0; i < ROUNDS; i++)
    galena_wire_encode (message, bytes, GALENA_DATAGRAM_BYTES_MAX, size);
  return (thread_cpu_ns () - start_ns) / ROUNDS;
}

/* Returns the nanoseconds per datagram.  */
static double
time_decode (const uint8_t *bytes, size_t size)
{
  struct galena_message message;
  double start_ns = thread_cpu_ns ();

  for (uint32_t i = 0; i < ROUNDS; i++)
    galena_wire_decode (bytes, size, &message);
  return (thread_cpu_ns () - start_ns) / ROUNDS;
}

static void
run_case (const struct codec_case *bench_case)
{
  struct galena_message message = make_request (bench_case);
  struct samples encode = { 0 };
  struct samples decode = { 0 };
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;

  for (uint32_t i = 0; i < REPEATS; i++)
    {
      samples_add (&encode, time_encode (&message, bytes, &size));
      samples_add (&decode, time_decode (bytes, size));
    }
  printf ("codec: %-13s datagram_bytes=%zu encode_ns=%.0f decode_ns=%.0f\n",
          bench_case->name, size, samples_median (&encode),
          samples_median (&decode));
}

bool
bench_codec (void)
{
  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    run_case (&CASES[i]);
  return true;
}
