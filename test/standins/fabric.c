/* Stand-in for the fabric: forwards each datagram of a caller to a random
   entry, and the replies to the caller.

   Usage: standin-fabric ADDRESS:PORT ENTRY:PORT...  */

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <galenaford/datagrams.h>
#include <galenaford/random.h>
#include <galenaford/record.h>

enum
{
  CALLERS_MAX = 64,
  ENTRIES_MAX = 64
};

/* A caller, and the socket through which its datagrams reach the entries.  */
struct known_caller
{
  struct galena_endpoint address;
  struct galena_datagrams *socket;
};

static struct known_caller callers[CALLERS_MAX];
static uint32_t caller_count;
static struct galena_endpoint entries[ENTRIES_MAX];
static uint32_t entry_count;
/* The socket at the given address, to which callers send.  */
static struct galena_datagrams *listen_socket;
static struct galena_random random_source;

/* Returns the caller with ADDRESS, which is added if it is new; NULL if there
   is no room or no socket for it.  */
static struct known_caller *
find_caller (struct galena_endpoint address)
{
  struct galena_datagrams_options options = {
    { listen_socket != NULL ? galena_datagrams_address (listen_socket).ip : 0,
      0 },
    false
  };

  for (uint32_t i = 0; i < caller_count; i++)
    if (galena_endpoint_equal (callers[i].address, address))
      return &callers[i];
  if (caller_count == CALLERS_MAX)
    return NULL;
  if (galena_datagrams_create (&options, &callers[caller_count].socket)
      != GALENA_OK)
    return NULL;
  callers[caller_count].address = address;
  return &callers[caller_count++];
}

static void
copy_datagram (struct galena_datagrams *to, const uint8_t *bytes, size_t size,
               struct galena_endpoint destination)
{
  memcpy (galena_datagrams_next_buffer (to), bytes, size);
  galena_datagrams_add (to, size, destination);
}

static void
forward_to_entries (void)
{
  uint32_t count = galena_datagrams_receive (listen_socket);

  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_endpoint source;
      size_t size;
      const uint8_t *bytes
          = galena_datagrams_get (listen_socket, i, &size, &source);
      struct known_caller *caller = find_caller (source);

      if (caller != NULL)
        copy_datagram (
            caller->socket, bytes, size,
            entries[galena_random_below (&random_source, entry_count)]);
    }
}

static void
forward_to_caller (const struct known_caller *caller)
{
  uint32_t count = galena_datagrams_receive (caller->socket);

  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_endpoint source;
      size_t size;
      const uint8_t *bytes
          = galena_datagrams_get (caller->socket, i, &size, &source);

      copy_datagram (listen_socket, bytes, size, caller->address);
    }
  galena_datagrams_flush (caller->socket);
}

static void
wait_for_work (void)
{
  struct pollfd fds[CALLERS_MAX + 1];

  fds[0] = (struct pollfd){ galena_datagrams_fd (listen_socket), POLLIN, 0 };
  for (uint32_t i = 0; i < caller_count; i++)
    fds[i + 1] = (struct pollfd){ galena_datagrams_fd (callers[i].socket),
                                  POLLIN, 0 };
  poll (fds, caller_count + 1, -1);
}

int
main (int argc, char **argv)
{
  struct galena_datagrams_options options = { .reuse_port = false };

  if (argc < 3
      || galena_endpoint_parse (argv[1], &options.address) != GALENA_OK)
    return 2;
  for (int i = 2; i < argc && entry_count < ENTRIES_MAX; i++)
    if (galena_endpoint_parse (argv[i], &entries[entry_count++]) != GALENA_OK)
      return 2;
  if (galena_datagrams_create (&options, &listen_socket) != GALENA_OK
      || getrandom (&random_source.seed, sizeof random_source.seed, 0) < 0)
    return 1;
  for (;;)
    {
      wait_for_work ();
      forward_to_entries ();
      for (uint32_t i = 0; i < caller_count; i++)
        forward_to_caller (&callers[i]);
      galena_datagrams_flush (listen_socket);
    }
}
