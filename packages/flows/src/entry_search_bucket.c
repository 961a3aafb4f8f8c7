/* The token bucket of searches.  Searches are limited to a share of the link:
   otherwise a full link, on which replies come late, would cause even more
   queries.  */

#include "entry_tables.h"

enum
{
  /* Searches may use what other packets leave of LINK_PERCENT of the link,
     which keeps the entry in rotation, but always LINK_PERCENT_MIN.  The token
     bucket holds at most what the latter gives in BURST_MS.  */
  LINK_PERCENT = 60,
  LINK_PERCENT_MIN = 25,
  BURST_MS = 250,
  PERCENT = 100,
  /* Assumed capacity of an unknown link: 100 Mbit/s.  */
  DEFAULT_LINK_KBPS = 100000,
  BITS_PER_BYTE = 8
};

bool
entry_search_take_tokens (struct galena_plane *plane, uint32_t bytes)
{
  struct search_bucket *bucket = &plane->entry->search_bucket;

  if (bucket->tokens < 0)
    return false;
  bucket->tokens -= bytes;
  bucket->search_bytes += bytes;
  return true;
}

/* Returns the capacity of the link in bytes per millisecond.  */
static double
link_bytes_per_ms (const struct galena_plane *plane)
{
  uint32_t kbps = plane->options.link_kbps > 0 ? plane->options.link_kbps
                                               : DEFAULT_LINK_KBPS;

  return (double)kbps / BITS_PER_BYTE;
}

/* Returns the most tokens that the bucket of searches holds.  */
static double
most_tokens (const struct galena_plane *plane)
{
  return link_bytes_per_ms (plane) * BURST_MS * LINK_PERCENT_MIN / PERCENT;
}

bool
entry_search_has_spare_tokens (const struct galena_plane *plane)
{
  return plane->entry->search_bucket.tokens >= most_tokens (plane) / 2;
}

bool
entry_search_has_tokens_for (const struct galena_plane *plane, uint32_t bytes)
{
  double most = most_tokens (plane) / 2;

  return plane->entry->search_bucket.tokens >= (bytes < most ? bytes : most);
}

void
entry_search_refill_tokens (struct galena_plane *plane)
{
  struct search_bucket *bucket = &plane->entry->search_bucket;
  double link_bytes
      = link_bytes_per_ms (plane)
        * (double)galena_clock_elapsed_ms (bucket->refilled_at, plane->now);
  double sent = (double)(plane->bytes_out - bucket->counted_bytes);
  double others
      = sent > bucket->search_bytes ? sent - bucket->search_bytes : 0;
  double least = link_bytes * LINK_PERCENT_MIN / PERCENT;
  double room = link_bytes * LINK_PERCENT / PERCENT - others;
  double most = most_tokens (plane);

  bucket->tokens += room > least ? room : least;
  if (bucket->tokens > most)
    bucket->tokens = most;
  bucket->search_bytes = 0;
  bucket->counted_bytes = plane->bytes_out;
  bucket->refilled_at = plane->now;
}
