/* Lookup of policies by name.  */

#include <string.h>

#include "policy.h"

int
galena_policy_index (const char *name, const char *(*name_at) (uint32_t))
{
  const char *known;

  if (name == NULL)
    return 0;
  for (uint32_t i = 0; (known = name_at (i)) != NULL; i++)
    if (strcmp (known, name) == 0)
      return (int)i;
  return -1;
}
