/* Open addressing with linear probing; removal shifts later keys back.  */

#include <stdlib.h>

/* Keys are short: a call would take longer than the hash.  */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <galenaford/map.h>

/* Slots for each key of the capacity: at most half of them are in use.  */
enum
{
  SLOTS_PER_KEY = 2
};

struct slot
{
  uint64_t key;
  uint64_t value;
};

struct galena_map
{
  struct slot *slots;
  /* Number of slots less one; the number is a power of two.  */
  uint32_t mask;
  uint32_t capacity;
  uint32_t count;
  uint64_t seed;
};

/* The key 0 marks an empty slot, so a caller's 0 becomes this one.  */
static const uint64_t ZERO_KEY = UINT64_C (0x9e3779b97f4a7c15);

static uint64_t
stored_key (uint64_t key)
{
  return key == 0 ? ZERO_KEY : key;
}

static uint32_t
home_slot (const struct galena_map *map, uint64_t key)
{
  return (uint32_t)XXH3_64bits_withSeed (&key, sizeof key, map->seed)
         & map->mask;
}

enum galena_result
galena_map_create (const struct galena_map_options *options,
                   struct galena_map **out)
{
  struct galena_map *map;
  uint64_t slots = 1;

  if (options->capacity == 0 || options->capacity > UINT32_MAX / 4)
    return GALENA_ERR_INVALID;
  while (slots < (uint64_t)options->capacity * SLOTS_PER_KEY)
    slots *= 2;
  map = calloc (1, sizeof *map);
  if (map == NULL)
    return GALENA_ERR_MEMORY;
  map->slots = calloc (slots, sizeof *map->slots);
  if (map->slots == NULL)
    {
      free (map);
      return GALENA_ERR_MEMORY;
    }
  map->mask = (uint32_t)(slots - 1);
  map->capacity = options->capacity;
  map->seed = options->seed;
  *out = map;
  return GALENA_OK;
}

void
galena_map_destroy (struct galena_map *map)
{
  if (map == NULL)
    return;
  free (map->slots);
  free (map);
}

/* Returns the slot of KEY, or the empty slot where it would go.  */
static uint32_t
probe (const struct galena_map *map, uint64_t key)
{
  uint32_t at = home_slot (map, key);

  while (map->slots[at].key != 0 && map->slots[at].key != key)
    at = (at + 1) & map->mask;
  return at;
}

enum galena_result
galena_map_insert (struct galena_map *map, uint64_t key, uint64_t value)
{
  uint32_t at;

  key = stored_key (key);
  at = probe (map, key);
  if (map->slots[at].key == key)
    return GALENA_ERR_EXISTS;
  if (map->count == map->capacity)
    return GALENA_ERR_FULL;
  map->slots[at] = (struct slot){ key, value };
  map->count++;
  return GALENA_OK;
}

bool
galena_map_find (const struct galena_map *map, uint64_t key, uint64_t *value)
{
  uint32_t at;

  key = stored_key (key);
  at = probe (map, key);
  if (map->slots[at].key != key)
    return false;
  *value = map->slots[at].value;
  return true;
}

/* Moves keys behind the emptied slot HOLE back so that probing finds them. */
static void
close_hole (struct galena_map *map, uint32_t hole)
{
  uint32_t at = hole;

  for (;;)
    {
      uint32_t home;

      at = (at + 1) & map->mask;
      if (map->slots[at].key == 0)
        return;
      home = home_slot (map, map->slots[at].key);
      if (((at - home) & map->mask) < ((at - hole) & map->mask))
        continue;
      map->slots[hole] = map->slots[at];
      map->slots[at].key = 0;
      hole = at;
    }
}

enum galena_result
galena_map_remove (struct galena_map *map, uint64_t key)
{
  uint32_t at;

  key = stored_key (key);
  at = probe (map, key);
  if (map->slots[at].key != key)
    return GALENA_ERR_NOT_FOUND;
  map->slots[at].key = 0;
  map->count--;
  close_hole (map, at);
  return GALENA_OK;
}

uint32_t
galena_map_count (const struct galena_map *map)
{
  return map->count;
}

uint64_t
galena_map_hash (const struct galena_map *map, const void *data, size_t size)
{
  return XXH3_64bits_withSeed (data, size, map->seed);
}

size_t
galena_map_key_cost (void)
{
  return SLOTS_PER_KEY * sizeof (struct slot);
}
