/* Codec of catalog snapshots, by which a process gets the configuration, the
   upstreams and the evacuated zones from a peer.  */

#ifndef GALENAFORD_SNAPSHOT_WIRE_H
#define GALENAFORD_SNAPSHOT_WIRE_H

#include <stddef.h>

#include <galenaford/catalog.h>

enum
{
  /* Schema version of encoded snapshots.  Older ones are decoded as well:
     version 2, without work classes of routes, limits of services and
     evacuations, and version 1, which also lacks the era of the store and the
     sequence numbers of upstreams.  */
  GALENA_SNAPSHOT_SCHEMA = 3,
  /* Most routes, upstreams, services and evacuations each that are accepted
     from a peer.  */
  GALENA_SNAPSHOT_ROWS_MAX = 65536
};

/* Encodes SNAPSHOT into *BYTES, which the caller frees, and stores the length
   in *SIZE.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_snapshot_encode (const struct galena_catalog_snapshot *snapshot,
                        uint8_t **bytes, size_t *size);

/* Decodes SIZE bytes into *SNAPSHOT; release it with galena_snapshot_release.
   *SNAPSHOT is empty after an error.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE, GALENA_ERR_SCHEMA,
   GALENA_ERR_TYPE, GALENA_ERR_RANGE, GALENA_ERR_MEMORY.  */
enum galena_result
galena_snapshot_decode (const uint8_t *bytes, size_t size,
                        struct galena_catalog_snapshot *snapshot);

/* Frees the rows of a decoded SNAPSHOT.  */
void galena_snapshot_release (struct galena_catalog_snapshot *snapshot);

#endif
