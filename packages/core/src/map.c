/* A hash table with open addressing and linear probing; removal shifts later
   keys back.  */

#include <stdlib.h>

/* Inlined, as keys are short: a function call would take longer than the
   hash itself.  */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <galenaford/map.h>

/* Slots per key of the capacity, so that at most half of them are in use.  */
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
  /* Number of slots, a power of two, minus one.  */
  uint32_t mask;
  uint32_t capacity;
  uint32_t count;
  uint64_t seed;
};

/* An arbitrary key that is stored instead of key 0, as 0 marks an empty slot.
   The map treats the two as the same key.  */
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

/* Returns the slot of KEY, or the empty slot in which to insert it.  */
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

/* Moves keys after the emptied slot HOLE back, so that probing finds them. */
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
galena_map_bytes_per_key (void)
{
  return SLOTS_PER_KEY * sizeof (struct slot);
}
