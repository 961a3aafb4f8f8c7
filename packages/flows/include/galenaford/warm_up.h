/* The limit of new flows of an upstream that warms up.  */

#ifndef GALENAFORD_WARM_UP_H
#define GALENAFORD_WARM_UP_H

#include <galenaford/plane.h>

/* Returns the most new flows that an upstream may get in any second, summed
   over all entries, while it warms up and takes PER_S a second; 0 for no
   limit.  */
uint32_t galena_warm_up_limit (const struct galena_plane_options *options,
                               uint32_t per_s);

/* Returns the part of LIMIT that one of ENTRIES live entries uses: at least
   one, so that each entry reaches each upstream.  */
uint32_t galena_warm_up_share (uint32_t limit, uint32_t entries);

#endif
