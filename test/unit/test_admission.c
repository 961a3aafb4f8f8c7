/* Isolation of kinds under overload: how much each kind keeps when another one
   is sent too often, feeds (requests with an endless answer) are opened, a
   third of the capacity fails, or an upstream is misreported.  The bounds are
   what users of the load balancer require.  */

#include "measure.h"

struct flood_case
{
  const char *name;
  /* Kind that is sent TIMES the capacity.  */
  enum measure_kind flooder;
  double times;
  /* Least share of its usual goodput that each kind keeps.  */
  double kept[MEASURE_KIND_COUNT];
};

static const struct flood_case FLOODS[] = {
  { "/flood/photo-2", MEASURE_PHOTO, 2, { 0, 0.95, 0.95, 1 } },
  { "/flood/photo-10", MEASURE_PHOTO, 10, { 0, 0.95, 0.95, 1 } },
  { "/flood/reading-2", MEASURE_READING, 2, { 0, 1, 0.95, 0.95 } },
  { "/flood/reading-10", MEASURE_READING, 10, { 0, 1, 0.95, 0.95 } },
};

/* Least total goodput, as a share of that without a flood.  */
static const double MIN_TOTAL_GOODPUT = 0.9;

/* Most opens and requests that agents refuse for each answered request.  */
static const double MAX_REFUSED_BY_AGENTS = 1;

static double
answers_per_second (const struct measure_overload_figures *figures)
{
  double answers = 0;

  for (int i = MEASURE_READING; i < MEASURE_KIND_COUNT; i++)
    answers += figures->goodput[i] / MEASURE_WORK_MS[i];
  return answers;
}

static void
run_flood_case (gconstpointer data)
{
  const struct flood_case *test = data;
  struct measure_overload_figures usual;
  struct measure_overload_figures flooded;

  measure_run_overload (3, NULL, test->flooder, 0, &usual);
  measure_run_overload (3, NULL, test->flooder, test->times, &flooded);
  for (int i = MEASURE_READING; i < MEASURE_KIND_COUNT; i++)
    g_assert_cmpfloat (flooded.goodput[i], >=,
                       usual.goodput[i] * test->kept[i]);
  g_assert_cmpfloat (flooded.total_goodput, >=,
                     usual.total_goodput * MIN_TOTAL_GOODPUT);
  g_assert_cmpfloat (flooded.agent_refusals, <=,
                     answers_per_second (&flooded) * MAX_REFUSED_BY_AGENTS);
}

struct feeds_case
{
  const char *name;
  /* Feeds opened, as a multiple of all connections.  */
  double opened;
  /* Least share of the events that is answered.  */
  double events_kept;
};

static const struct feeds_case FEEDS[] = {
  { "/feeds/half", 0.5, 0.95 },
  { "/feeds/twice", 2, 0.95 },
};

static void
run_feeds_case (gconstpointer data)
{
  const struct feeds_case *test = data;
  struct measure_feeds_figures figures;

  measure_run_feeds (3, test->opened, &figures);
  g_assert_cmpfloat (figures.answered_share, >=, test->events_kept);
}

/* Load on a service a third of whose capacity fails.  */
struct dead_case
{
  const char *name;
  /* Load as a share of the capacity.  */
  double load;
};

static const struct dead_case DEAD[] = {
  { "/dead/load-20", 0.2 },
  { "/dead/load-50", 0.5 },
};

/* Most retries, as a share of the first attempts.  */
static const double MAX_RETRIES = 0.1;

/* Most opens refused in the whole run, as a share of the first attempts.  */
static const double MAX_REFUSED = 0.001;

static void
run_dead_case (gconstpointer data)
{
  const struct dead_case *test = data;
  struct measure_crash_figures figures;

  measure_run_crash (3, NULL, test->load, &figures);
  g_assert_cmpfloat (figures.retries, <, MAX_RETRIES);
  g_assert_cmpfloat (figures.refused, <, MAX_REFUSED);
}

struct balance_case
{
  const char *name;
  /* False information about one upstream.  */
  enum measure_misreport_number misreport;
  double load;
  double max_imbalance;
  double min_answered;
  uint32_t max_p99_ms;
};

static const struct balance_case BALANCE[] = {
  { "/balance/honest-70", MEASURE_MISREPORT_NONE, 0.70, 1.15, 0.999, 200 },
  { "/balance/honest-95", MEASURE_MISREPORT_NONE, 0.95, 1.15, 0.999, 300 },
  { "/balance/no-wait-told-70", MEASURE_MISREPORT_NO_WAIT, 0.70, 1.5, 0.999,
    1000 },
};

static void
run_balance_case (gconstpointer data)
{
  const struct balance_case *test = data;
  struct measure_balance_figures figures;

  measure_run_balance (3, NULL, test->misreport, test->load, &figures);
  g_assert_cmpfloat (figures.imbalance, <=, test->max_imbalance);
  g_assert_cmpfloat (figures.answered, >=, test->min_answered);
  g_assert_cmpuint (figures.p99_ms, <=, test->max_p99_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (FLOODS); i++)
    g_test_add_data_func (FLOODS[i].name, &FLOODS[i], run_flood_case);
  for (size_t i = 0; i < G_N_ELEMENTS (FEEDS); i++)
    g_test_add_data_func (FEEDS[i].name, &FEEDS[i], run_feeds_case);
  for (size_t i = 0; i < G_N_ELEMENTS (DEAD); i++)
    g_test_add_data_func (DEAD[i].name, &DEAD[i], run_dead_case);
  for (size_t i = 0; i < G_N_ELEMENTS (BALANCE); i++)
    g_test_add_data_func (BALANCE[i].name, &BALANCE[i], run_balance_case);
  return g_test_run ();
}
