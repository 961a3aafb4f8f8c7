/* Names and descriptions of the counters.  */

#include <galenaford/counters.h>

struct counter_text
{
  const char *name;
  const char *description;
};

static const struct counter_text TEXTS[GALENA_COUNTER_COUNT] = {
#define GALENA_COUNTER_TEXT(id, name, description)                            \
  [id] = { name, description },
  GALENA_COUNTERS (GALENA_COUNTER_TEXT)
#undef GALENA_COUNTER_TEXT
};

const char *
galena_counter_name (enum galena_counter counter)
{
  return TEXTS[counter].name;
}

const char *
galena_counter_description (enum galena_counter counter)
{
  return TEXTS[counter].description;
}
