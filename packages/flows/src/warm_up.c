/* Pure functions over the settings and what is published.  */

#include <galenaford/warm_up.h>

uint32_t
galena_warm_up_limit (const struct galena_plane_options *options,
                      uint32_t per_s)
{
  double limit = per_s * options->warm_up_overrun + options->warm_up_slack;

  if (per_s == 0
      || (options->warm_up_overrun <= 0 && options->warm_up_slack <= 0))
    return 0;
  if (limit >= UINT32_MAX)
    return UINT32_MAX;
  return limit < 1 ? 1 : (uint32_t)limit;
}

uint32_t
galena_warm_up_share (uint32_t limit, uint32_t entries)
{
  return entries == 0 || limit < entries ? 1 : limit / entries;
}
