/* Send and receive buffers of one framed connection.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <galenaford/framing.h>

enum
{
  INITIAL_CAPACITY_BYTES = 512
};

/* Bytes from START to END of DATA are in use.  */
struct buffer
{
  uint8_t *data;
  uint32_t start;
  uint32_t end;
  uint32_t capacity;
  /* Limit of the bytes in use.  */
  uint32_t max;
};

struct galena_framing
{
  uint32_t receive_max;
  struct buffer received;
  struct buffer sending;
};

static uint32_t
used_bytes (const struct buffer *buffer)
{
  return buffer->end - buffer->start;
}

static void
move_to_front (struct buffer *buffer)
{
  if (buffer->start == 0)
    return;
  memmove (buffer->data, buffer->data + buffer->start, used_bytes (buffer));
  buffer->end -= buffer->start;
  buffer->start = 0;
}

/* Ensures that SIZE more bytes fit after END.
   Errors: GALENA_ERR_FULL, GALENA_ERR_MEMORY.  */
static enum galena_result
reserve (struct buffer *buffer, uint32_t size)
{
  uint64_t needed = (uint64_t)used_bytes (buffer) + size;
  uint64_t capacity = buffer->capacity;
  uint8_t *data;

  if (needed > buffer->max)
    return GALENA_ERR_FULL;
  if (needed <= buffer->capacity - buffer->start)
    return GALENA_OK;
  if (buffer->data != NULL)
    move_to_front (buffer);
  if (needed <= capacity)
    return GALENA_OK;
  if (capacity == 0)
    capacity = INITIAL_CAPACITY_BYTES;
  while (capacity < needed)
    capacity *= 2;
  if (capacity > buffer->max)
    capacity = buffer->max;
  data = realloc (buffer->data, capacity);
  if (data == NULL)
    return GALENA_ERR_MEMORY;
  buffer->data = data;
  buffer->capacity = (uint32_t)capacity;
  return GALENA_OK;
}

enum galena_result
galena_framing_create (const struct galena_framing_options *options,
                       struct galena_framing **out)
{
  struct galena_framing *framing;

  if (options->receive_max > UINT32_MAX / 2
      || options->send_max < GALENA_FRAME_HEADER_BYTES)
    return GALENA_ERR_INVALID;
  framing = calloc (1, sizeof *framing);
  if (framing == NULL)
    return GALENA_ERR_MEMORY;
  framing->receive_max = options->receive_max;
  framing->received.max = options->receive_max + GALENA_FRAME_HEADER_BYTES;
  framing->sending.max = options->send_max;
  *out = framing;
  return GALENA_OK;
}

void
galena_framing_destroy (struct galena_framing *framing)
{
  if (framing == NULL)
    return;
  free (framing->received.data);
  free (framing->sending.data);
  free (framing);
}

static uint32_t
decode_length (const uint8_t *bytes)
{
  return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16
         | (uint32_t)bytes[2] << 8 | bytes[3];
}

static void
encode_length (uint8_t *bytes, uint32_t length)
{
  bytes[0] = (uint8_t)(length >> 24);
  bytes[1] = (uint8_t)(length >> 16);
  bytes[2] = (uint8_t)(length >> 8);
  bytes[3] = (uint8_t)length;
}

/* Stores the length of the next message in *LENGTH; false if it has not
   arrived yet.  */
static bool
next_length (const struct buffer *buffer, uint32_t *length)
{
  if (used_bytes (buffer) < GALENA_FRAME_HEADER_BYTES)
    return false;
  *length = decode_length (buffer->data + buffer->start);
  return true;
}

static enum galena_result
check_length (const struct galena_framing *framing)
{
  uint32_t length;

  if (next_length (&framing->received, &length)
      && length > framing->receive_max)
    return GALENA_ERR_TOO_LARGE;
  return GALENA_OK;
}

/* Returns how many bytes to read at once: as many as are buffered already, and
   at least INITIAL_CAPACITY_BYTES, up to the limit.  */
static uint32_t
receive_size (const struct buffer *buffer)
{
  uint32_t held = used_bytes (buffer);
  uint32_t available = buffer->max - held;
  uint32_t wanted
      = held > INITIAL_CAPACITY_BYTES ? held : INITIAL_CAPACITY_BYTES;

  return wanted < available ? wanted : available;
}

enum galena_result
galena_framing_receive (struct galena_framing *framing, int fd)
{
  struct buffer *buffer = &framing->received;
  uint32_t wanted = receive_size (buffer);
  enum galena_result result;
  ssize_t count;

  if (wanted == 0)
    return GALENA_OK;
  result = reserve (buffer, wanted);
  if (result != GALENA_OK)
    return result;
  count = recv (fd, buffer->data + buffer->end, wanted, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return GALENA_OK;
  if (count <= 0)
    return GALENA_ERR_IO;
  buffer->end += (uint32_t)count;
  return check_length (framing);
}

const uint8_t *
galena_framing_next (struct galena_framing *framing, uint32_t *size)
{
  struct buffer *buffer = &framing->received;
  const uint8_t *message;
  uint32_t length;

  if (!next_length (buffer, &length) || length > framing->receive_max
      || used_bytes (buffer) - GALENA_FRAME_HEADER_BYTES < length)
    return NULL;
  message = buffer->data + buffer->start + GALENA_FRAME_HEADER_BYTES;
  buffer->start += GALENA_FRAME_HEADER_BYTES + length;
  *size = length;
  return message;
}

enum galena_result
galena_framing_add (struct galena_framing *framing, const uint8_t *bytes,
                    uint32_t size)
{
  struct buffer *buffer = &framing->sending;
  enum galena_result result;

  if (size > UINT32_MAX - GALENA_FRAME_HEADER_BYTES)
    return GALENA_ERR_FULL;
  result = reserve (buffer, GALENA_FRAME_HEADER_BYTES + size);
  if (result != GALENA_OK)
    return result;
  encode_length (buffer->data + buffer->end, size);
  buffer->end += GALENA_FRAME_HEADER_BYTES;
  if (size > 0)
    memcpy (buffer->data + buffer->end, bytes, size);
  buffer->end += size;
  return GALENA_OK;
}

enum galena_result
galena_framing_send (struct galena_framing *framing, int fd)
{
  struct buffer *buffer = &framing->sending;
  ssize_t count;

  if (used_bytes (buffer) == 0)
    return GALENA_OK;
  count = send (fd, buffer->data + buffer->start, used_bytes (buffer),
                MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count < 0)
    return errno == EAGAIN || errno == EINTR ? GALENA_OK : GALENA_ERR_IO;
  buffer->start += (uint32_t)count;
  if (buffer->start == buffer->end)
    buffer->start = buffer->end = 0;
  return GALENA_OK;
}

uint32_t
galena_framing_pending_bytes (const struct galena_framing *framing)
{
  return used_bytes (&framing->sending);
}
