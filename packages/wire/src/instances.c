/* A list of instances has the form {"generation": G, "total": N, "instances":
   [{"role": "agent", "address": "A.B.C.D:PORT", "upstream": U, "state":
   "leaving"}]}, where an "era" may stand beside the generation.  N is the
   number of instances in the whole list; a reply can hold only some of them.
 */

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <galenaford/instances.h>
#include <galenaford/record.h>

enum
{
  INSTANCES_MAX = 16384
};

/* One name that a field may hold, and its value.  */
struct name_row
{
  const char *name;
  int value;
};

static const struct name_row ROLES[] = { { "entry", GALENA_ROLE_ENTRY },
                                         { "agent", GALENA_ROLE_AGENT },
                                         { NULL, 0 } };

static const struct name_row STATES[]
    = { { "live", false }, { "leaving", true }, { NULL, 0 } };

/* Looks up the text of OBJECT's KEY in NAMES; false when it is not listed.  */
static bool
decode_name (const json_t *object, const char *key,
             const struct name_row *names, int *value)
{
  const char *text = json_string_value (json_object_get (object, key));

  if (text == NULL)
    return false;
  while (names->name != NULL && strcmp (names->name, text) != 0)
    names++;
  *value = names->value;
  return names->name != NULL;
}

static bool
decode_row (const json_t *object, struct galena_instance *row)
{
  const char *address
      = json_string_value (json_object_get (object, "address"));
  json_int_t upstream
      = json_integer_value (json_object_get (object, "upstream"));
  int role;
  int leaving;

  if (address == NULL || upstream < 0 || upstream > UINT32_MAX
      || galena_endpoint_parse (address, &row->peer.address) != GALENA_OK
      || !decode_name (object, "role", ROLES, &role)
      || !decode_name (object, "state", STATES, &leaving))
    return false;
  row->peer.role = (enum galena_role)role;
  row->leaving = leaving;
  row->upstream = (uint32_t)upstream;
  return true;
}

static enum galena_result
decode_rows (const json_t *rows, struct galena_instance_list *list)
{
  size_t count = json_array_size (rows);

  if (!json_is_array (rows) || count > INSTANCES_MAX)
    return GALENA_ERR_INVALID;
  list->rows = calloc (count + 1, sizeof *list->rows);
  if (list->rows == NULL)
    return GALENA_ERR_MEMORY;
  for (size_t i = 0; i < count; i++)
    if (!decode_row (json_array_get (rows, i), &list->rows[i]))
      return GALENA_ERR_INVALID;
  list->count = (uint32_t)count;
  return GALENA_OK;
}

static enum galena_result
decode_list (const json_t *root, struct galena_instance_list *list)
{
  json_int_t generation
      = json_integer_value (json_object_get (root, "generation"));
  const json_t *era_item = json_object_get (root, "era");
  json_int_t era = json_integer_value (era_item);
  json_int_t total = json_integer_value (json_object_get (root, "total"));

  if ((era_item != NULL && !json_is_integer (era_item)) || era < 0
      || era > GALENA_ERA_MAX || generation < 1
      || generation >> GALENA_LIST_GENERATION_BITS != 0 || total < 0
      || total > INSTANCES_MAX)
    return GALENA_ERR_INVALID;
  list->era = (uint64_t)era;
  list->generation = (uint64_t)generation;
  list->total = (uint32_t)total;
  return decode_rows (json_object_get (root, "instances"), list);
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
  result = decode_list (root, list);
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
