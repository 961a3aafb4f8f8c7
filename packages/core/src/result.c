/* Names and descriptions of the result codes.  */

#include <galenaford/result.h>

const char *
galena_result_name (enum galena_result result)
{
  switch (result)
    {
#define GALENA_RESULT_NAME(id, number, name, description)                     \
  case id:                                                                    \
    return name;
      GALENA_RESULTS (GALENA_RESULT_NAME)
#undef GALENA_RESULT_NAME
    }
  return "unknown";
}

const char *
galena_result_description (enum galena_result result)
{
  switch (result)
    {
#define GALENA_RESULT_DESCRIPTION(id, number, name, description)              \
  case id:                                                                    \
    return description;
      GALENA_RESULTS (GALENA_RESULT_DESCRIPTION)
#undef GALENA_RESULT_DESCRIPTION
    }
  return "";
}

int
galena_result_is_refusal (enum galena_result result)
{
  return result >= GALENA_REFUSED_NO_SERVICE
         && result < GALENA_UNKNOWN_OUTCOME;
}
