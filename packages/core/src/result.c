/* Words and meanings of the result codes.  */

#include <galenaford/result.h>

const char *
galena_result_word (enum galena_result result)
{
  switch (result)
    {
#define GALENA_RESULT_WORD(name, number, word, meaning)                       \
  case name:                                                                  \
    return word;
      GALENA_RESULTS (GALENA_RESULT_WORD)
#undef GALENA_RESULT_WORD
    }
  return "unknown";
}

const char *
galena_result_meaning (enum galena_result result)
{
  switch (result)
    {
#define GALENA_RESULT_MEANING(name, number, word, meaning)                    \
  case name:                                                                  \
    return meaning;
      GALENA_RESULTS (GALENA_RESULT_MEANING)
#undef GALENA_RESULT_MEANING
    }
  return "";
}

int
galena_result_is_refusal (enum galena_result result)
{
  return result >= GALENA_REFUSED_NO_SERVICE
         && result < GALENA_UNKNOWN_OUTCOME;
}
