/* Words and meanings of the counters.  */

#include <galenaford/counters.h>

struct counter_text
{
  const char *word;
  const char *meaning;
};

static const struct counter_text TEXTS[GALENA_COUNTER_COUNT] = {
#define GALENA_COUNTER_TEXT(name, word, meaning) [name] = { word, meaning },
  GALENA_COUNTERS (GALENA_COUNTER_TEXT)
#undef GALENA_COUNTER_TEXT
};

const char *
galena_counter_word (enum galena_counter counter)
{
  return TEXTS[counter].word;
}

const char *
galena_counter_meaning (enum galena_counter counter)
{
  return TEXTS[counter].meaning;
}
