/* {"generation": G, "total": N, "instances": [{"role": "agent", "address":
   "A.B.C.D:PORT", "upstream": U, "state": "leaving"}]}  */

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <galenaford/instances.h>
#include <galenaford/record.h>

enum
{
  INSTANCES_MAX = 16384
};

/* Words of a field and their values.  */
struct word_row
{
  const char *word;
  int value;
};

static const struct word_row ROLES[] = { { "entry", GALENA_ROLE_ENTRY },
                                         { "agent", GALENA_ROLE_AGENT },
                                         { NULL, 0 } };

static const struct word_row STATES[]
    = { { "live", false }, { "leaving", true }, { NULL, 0 } };

/* Finds the word of OBJECT's KEY in WORDS; false when it is none.  */
static bool
read_word (const json_t *object, const char *key, const struct word_row *words,
           int *value)
{
  const char *text = json_string_value (json_object_get (object, key));

  if (text == NULL)
    return false;
  while (words->word != NULL && strcmp (words->word, text) != 0)
    words++;
  *value = words->value;
  return words->word != NULL;
}

static bool
read_row (const json_t *object, struct galena_instance *row)
{
  const char *address
      = json_string_value (json_object_get (object, "address"));
  json_int_t upstream
      = json_integer_value (json_object_get (object, "upstream"));
  int role;
  int leaving;

  if (address == NULL || upstream < 0 || upstream > UINT32_MAX
      || galena_endpoint_parse (address, &row->peer.address) != GALENA_OK
      || !read_word (object, "role", ROLES, &role)
      || !read_word (object, "state", STATES, &leaving))
    return false;
  row->peer.role = (enum galena_role)role;
  row->leaving = leaving;
  row->upstream = (uint32_t)upstream;
  return true;
}

static enum galena_result
read_rows (const json_t *rows, struct galena_instance_list *list)
{
  size_t count = json_array_size (rows);

  if (!json_is_array (rows) || count > INSTANCES_MAX)
    return GALENA_ERR_INVALID;
  list->rows = calloc (count + 1, sizeof *list->rows);
  if (list->rows == NULL)
    return GALENA_ERR_MEMORY;
  for (size_t i = 0; i < count; i++)
    if (!read_row (json_array_get (rows, i), &list->rows[i]))
      return GALENA_ERR_INVALID;
  list->count = (uint32_t)count;
  return GALENA_OK;
}

static enum galena_result
read_list (const json_t *root, struct galena_instance_list *list)
{
  json_int_t generation
      = json_integer_value (json_object_get (root, "generation"));
  json_int_t total = json_integer_value (json_object_get (root, "total"));

  if (generation < 1 || total < 0 || total > INSTANCES_MAX)
    return GALENA_ERR_INVALID;
  list->generation = (uint64_t)generation;
  list->total = (uint32_t)total;
  return read_rows (json_object_get (root, "instances"), list);
}

enum galena_result
galena_instances_parse (const char *text, size_t size,
                        struct galena_instance_list *list)
{
  enum galena_result result;
  json_t *root;

  *list = (struct galena_instance_list){ 0 };
  if (size > GALENA_RECORD_BYTES_MAX)
    return GALENA_ERR_TOO_LARGE;
  root = json_loadb (text, size, JSON_REJECT_DUPLICATES, NULL);
  result = read_list (root, list);
  json_decref (root);
  if (result != GALENA_OK)
    galena_instances_release (list);
  return result;
}

void
galena_instances_release (struct galena_instance_list *list)
{
  free (list->rows);
  list->rows = NULL;
  list->count = 0;
}
