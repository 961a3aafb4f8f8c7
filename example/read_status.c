/* Queries the status of one process over its operator socket and prints it.

   Usage: example-read_status ADDRESS:PORT  */

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <galenaford/framing.h>
#include <galenaford/operator.h>
#include <galenaford/record.h>

enum
{
  TIMEOUT_MS = 2000,
  SEND_BYTES_MAX = 256
};

static enum galena_result
queue_query (struct galena_framing *framing)
{
  struct galena_operator_row query
      = { .type = GALENA_ROW_QUERY, .as.query.view = GALENA_ROW_STATUS };
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;
  enum galena_result result
      = galena_operator_encode (&query, bytes, sizeof bytes, &size);

  if (result != GALENA_OK)
    return result;
  return galena_framing_add (framing, bytes, (uint32_t)size);
}

static void
print_row (const struct galena_operator_row *row)
{
  const struct galena_operator_field *field;

  for (uint32_t i = 0; (field = galena_operator_field (row->type, i)) != NULL;
       i++)
    if (field->is_text)
      printf ("%s=%s\n", field->name, galena_operator_text (row, field));
    else
      printf ("%s=%" PRIu64 "\n", field->name,
              galena_operator_number (row, field));
}

/* Prints the rows received; sets *ENDED if the end of the reply is among
   them.  */
static enum galena_result
read_rows (struct galena_framing *framing, bool *ended)
{
  struct galena_operator_row row;
  const uint8_t *bytes;
  uint32_t size;

  while (!*ended && (bytes = galena_framing_next (framing, &size)) != NULL)
    {
      enum galena_result result = galena_operator_decode (bytes, size, &row);

      if (result != GALENA_OK)
        return result;
      *ended = row.type == GALENA_ROW_END;
      if (!*ended)
        print_row (&row);
    }
  return GALENA_OK;
}

static enum galena_result
query (struct galena_framing *framing, int fd)
{
  enum galena_result result = queue_query (framing);
  bool ended = false;

  while (result == GALENA_OK && !ended)
    {
      struct pollfd wait = { fd, POLLIN, 0 };

      if (galena_framing_pending_bytes (framing) > 0)
        wait.events |= POLLOUT;
      if (poll (&wait, 1, TIMEOUT_MS) <= 0)
        return GALENA_ERR_IO;
      result = galena_framing_send (framing, fd);
      if (result == GALENA_OK)
        result = galena_framing_receive (framing, fd);
      if (result == GALENA_OK)
        result = read_rows (framing, &ended);
    }
  return result;
}

int
main (int argc, char **argv)
{
  struct galena_framing_options options
      = { GALENA_OPERATOR_ROW_BYTES_MAX, SEND_BYTES_MAX };
  struct galena_framing *framing = NULL;
  struct galena_endpoint address;
  enum galena_result result;
  int fd = -1;

  if (argc != 2 || galena_endpoint_parse (argv[1], &address) != GALENA_OK)
    {
      fputs ("usage: ADDRESS:PORT\n", stderr);
      return 2;
    }
  result = galena_framing_create (&options, &framing);
  if (result == GALENA_OK)
    result = galena_tcp_connect (address, &fd);
  if (result == GALENA_OK)
    result = query (framing, fd);
  if (result != GALENA_OK)
    fprintf (stderr, "%s\n", galena_result_description (result));
  galena_framing_destroy (framing);
  if (fd >= 0)
    close (fd);
  return result == GALENA_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
