/* Mailboxes: the messages of one tick, with a buffer for the body of each.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/message.h>

struct galena_mailbox
{
  struct galena_message *rows;
  /* GALENA_PART_BYTES for each row; NULL when bodies are borrowed.  */
  uint8_t *bodies;
  uint32_t capacity;
  uint32_t count;
};

const char *
galena_message_type_name (enum galena_message_type type)
{
  switch (type)
    {
#define GALENA_MESSAGE_NAME(id, number, name)                                 \
  case id:                                                                    \
    return name;
      GALENA_MESSAGE_TYPES (GALENA_MESSAGE_NAME)
#undef GALENA_MESSAGE_NAME
    case GALENA_MESSAGE_TYPE_END:
      break;
    }
  return "unknown";
}

enum galena_result
galena_mailbox_create (const struct galena_mailbox_options *options,
                       struct galena_mailbox **out)
{
  struct galena_mailbox *mailbox;

  if (options->capacity == 0)
    return GALENA_ERR_INVALID;
  mailbox = calloc (1, sizeof *mailbox);
  if (mailbox == NULL)
    return GALENA_ERR_MEMORY;
  mailbox->capacity = options->capacity;
  mailbox->rows = calloc (options->capacity, sizeof *mailbox->rows);
  if (mailbox->rows == NULL)
    goto fail;
  if (!options->borrow_bodies)
    mailbox->bodies = calloc (options->capacity, GALENA_PART_BYTES);
  if (!options->borrow_bodies && mailbox->bodies == NULL)
    goto fail;
  *out = mailbox;
  return GALENA_OK;

fail:
  galena_mailbox_destroy (mailbox);
  return GALENA_ERR_MEMORY;
}

void
galena_mailbox_destroy (struct galena_mailbox *mailbox)
{
  if (mailbox == NULL)
    return;
  free (mailbox->rows);
  free (mailbox->bodies);
  free (mailbox);
}

/* Makes the last row reference its own copy of the body.  */
static void
copy_body (struct galena_mailbox *mailbox)
{
  size_t last = mailbox->count - 1;
  struct galena_message *row = &mailbox->rows[last];
  uint8_t *body = mailbox->bodies + last * GALENA_PART_BYTES;

  if (row->body_size > 0)
    memcpy (body, row->body, row->body_size);
  row->body = body;
}

enum galena_result
galena_mailbox_push (struct galena_mailbox *mailbox,
                     const struct galena_message *message)
{
  if (message->body_size > GALENA_PART_BYTES)
    return GALENA_ERR_TOO_LARGE;
  if (mailbox->count == mailbox->capacity)
    return GALENA_ERR_FULL;
  mailbox->rows[mailbox->count++] = *message;
  if (mailbox->bodies != NULL)
    copy_body (mailbox);
  return GALENA_OK;
}

uint32_t
galena_mailbox_count (const struct galena_mailbox *mailbox)
{
  return mailbox->count;
}

uint32_t
galena_mailbox_room (const struct galena_mailbox *mailbox)
{
  return mailbox->capacity - mailbox->count;
}

const struct galena_message *
galena_mailbox_get (const struct galena_mailbox *mailbox, uint32_t index)
{
  return &mailbox->rows[index];
}

void
galena_mailbox_clear (struct galena_mailbox *mailbox)
{
  mailbox->count = 0;
}
