/* Which entries of an availability zone should be in rotation.

   Load pattern: a burst of bulk data through entries whose links differ.
   Routers give each entry in rotation the same share of the flows, so that the
   zone carries as much as its slowest link in rotation times their number.  */

#ifndef GALENAFORD_ROTATION_H
#define GALENAFORD_ROTATION_H

#include <stdbool.h>
#include <stdint.h>

/* An entry that is, or may be, in rotation.  */
struct galena_rotation_row
{
  /* Capacity of its link in kbit/s.  */
  uint32_t link_kbps;
  uint32_t ip;
};

/* Returns whether the zone carries more without the entry SELF than with it.
   ROWS are the other entries that are in rotation or slower than SELF, COUNT
   of them; ALL is the number of entries of the zone, including SELF and those
   that can't be in rotation.  When fewer than half of ALL are in rotation,
   routers use all again, so at least half stay.  All entries of a zone order
   the rows in the same way: by link, then by address.  */
bool galena_rotation_excludes (const struct galena_rotation_row *rows,
                               uint32_t count, struct galena_rotation_row self,
                               uint32_t all);

#endif
