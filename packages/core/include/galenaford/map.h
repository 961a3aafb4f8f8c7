/* A bounded hash map with 64-bit keys and values and a seeded hash.  */

#ifndef GALENAFORD_MAP_H
#define GALENAFORD_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_map_options
{
  /* Maximum number of keys.  */
  uint32_t capacity;
  /* Seed of the hash; random per process where remote peers choose the
     keys.  */
  uint64_t seed;
};

struct galena_map;

/* Creates an empty map in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result galena_map_create (const struct galena_map_options *options,
                                      struct galena_map **out);

/* Destroys MAP; accepts NULL.  */
void galena_map_destroy (struct galena_map *map);

/* Adds KEY with VALUE.  Errors: GALENA_ERR_EXISTS, GALENA_ERR_FULL.  */
enum galena_result galena_map_insert (struct galena_map *map, uint64_t key,
                                      uint64_t value);

/* Stores the value of KEY in *VALUE; returns false when KEY is absent.  */
bool galena_map_find (const struct galena_map *map, uint64_t key,
                      uint64_t *value);

/* Removes KEY.  Errors: GALENA_ERR_NOT_FOUND.  */
enum galena_result galena_map_remove (struct galena_map *map, uint64_t key);

/* Returns the number of keys in MAP.  */
uint32_t galena_map_count (const struct galena_map *map);

/* Returns the seeded hash of SIZE bytes at DATA.  */
uint64_t galena_map_hash (const struct galena_map *map, const void *data,
                          size_t size);

/* Returns the bytes of memory that a map uses per key of its capacity.  */
size_t galena_map_bytes_per_key (void);

#endif
