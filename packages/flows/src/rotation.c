#include <galenaford/rotation.h>

/* Least gain of the zone's capacity for which an entry leaves the rotation:
   flows that move to other entries cost searches.  */
static const double MIN_GAIN = 1.05;

/* Returns whether A comes before B: its link is faster or, of two equal links,
   its address lower.  */
static bool
is_before (struct galena_rotation_row a, struct galena_rotation_row b)
{
  if (a.link_kbps != b.link_kbps)
    return a.link_kbps > b.link_kbps;
  return a.ip < b.ip;
}

/* Returns the number of ROWS that come before or are equal to ROW.  */
static uint32_t
rank_of (const struct galena_rotation_row *rows, uint32_t count,
         struct galena_rotation_row row)
{
  uint32_t rank = 0;

  for (uint32_t i = 0; i < count; i++)
    rank += !is_before (row, rows[i]);
  return rank;
}

/* Best capacity of the zone in kbit/s with and without one of its entries.  */
struct capacity
{
  double with;
  double without;
};

/* Considers that the first KEPT entries, the last of them with LINK_KBPS, are
   in rotation, with SELF_RANK entries before the one in question.  */
static void
consider (struct capacity *capacity, uint32_t kept, uint32_t link_kbps,
          uint32_t self_rank)
{
  double total = (double)kept * link_kbps;
  double *best = kept > self_rank ? &capacity->with : &capacity->without;

  if (total > *best)
    *best = total;
}

bool
galena_rotation_excludes (const struct galena_rotation_row *rows,
                          uint32_t count, struct galena_rotation_row self,
                          uint32_t all)
{
  uint32_t self_rank = rank_of (rows, count, self);
  uint32_t least = (all + 1) / 2;
  struct capacity capacity = { 0, 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t kept
          = rank_of (rows, count, rows[i]) + is_before (self, rows[i]);

      if (kept >= least)
        consider (&capacity, kept, rows[i].link_kbps, self_rank);
    }
  consider (&capacity, self_rank + 1, self.link_kbps, self_rank);
  return capacity.without >= capacity.with * MIN_GAIN;
}
