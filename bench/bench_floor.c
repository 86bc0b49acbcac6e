/* Computes what no load balancer could avoid when all instances stop: callers
   send opening packets 0, 0.2 and 0.6 s after a request, give up an attempt
   after 1.4 s, and start the next one at once.  An instance serves every
   packet that arrives after its process has started, with a list that is
   complete at once.  Prints one JSON row for each window of two seconds.

   Arguments: time of the stop, then for each part of the instances its share
   and the time at which their processes start, in seconds. */
#include <stdio.h>
#include <stdlib.h>

#define PARTS_MAX 8
#define WINDOW_S 2.0
#define WINDOWS 4
#define STEPS 2000 /* of a window */
#define ATTEMPTS 3 /* a caller retries twice */
#define ATTEMPT_S 1.4
#define RESPONSE_S 0.036 /* median on calm days of the site baridnet */
#define COPIES 3

static const double copy_times[COPIES] = { 0.0, 0.2, 0.6 };

/* Kinds of requests of the site baridnet. */
typedef struct
{
  const char *name;
  double share;
  double aim_s;
  double worth;
  double late_worth; /* as a part of worth */
} kind_t;

static const kind_t kinds[] = { { "lesson-feed", 0.73, 0.150, 1, 0.1 },
                                { "answer-sheet", 0.21, 0.200, 2, 0.1 },
                                { "workbook-pdf", 0.06, 0.500, 1, 0.1 } };
#define KINDS (sizeof kinds / sizeof kinds[0])

typedef struct
{
  double share;
  double start_s;
} part_t;

typedef struct
{
  double stop_s;
  part_t parts[PARTS_MAX];
  int count;
} outage_t;

/* Returns the expected part of the worth of a request. */
static double
get_worth (const outage_t *outage, const kind_t *kind, double requested_at,
           double attempt_at, int attempt)
{
  double worth = 0;
  if (attempt == ATTEMPTS)
    return 0;
  for (int i = 0; i < outage->count; i++)
    {
      const part_t *part = &outage->parts[i];
      double served_at = -1;
      for (int copy = 0; copy < COPIES && served_at < 0; copy++)
        {
          double sent_at = attempt_at + copy_times[copy];
          if (sent_at + RESPONSE_S < outage->stop_s || sent_at > part->start_s)
            served_at = sent_at + RESPONSE_S;
        }
      if (served_at < 0)
        worth += part->share
                 * get_worth (outage, kind, requested_at,
                              attempt_at + ATTEMPT_S, attempt + 1);
      else
        worth
            += part->share
               * (served_at - requested_at <= kind->aim_s ? 1
                                                          : kind->late_worth);
    }
  return worth;
}

int
main (int argc, char **argv)
{
  outage_t outage = { .count = 0 };
  if (argc < 4 || argc % 2 != 0 || argc > 2 + 2 * PARTS_MAX)
    {
      fprintf (stderr, "usage: %s STOP SHARE START [SHARE START]...\n",
               argv[0]);
      return 2;
    }
  outage.stop_s = atof (argv[1]);
  for (int i = 2; i + 1 < argc; i += 2)
    outage.parts[outage.count++]
        = (part_t){ atof (argv[i]), atof (argv[i + 1]) };
  double first = WINDOW_S * (int)(outage.stop_s / WINDOW_S);
  for (int window = 0; window < WINDOWS; window++)
    {
      double start = first + window * WINDOW_S;
      double earned = 0;
      double owed = 0;
      for (int step = 0; step < STEPS; step++)
        for (size_t k = 0; k < KINDS; k++)
          {
            double at = start + step * WINDOW_S / STEPS;
            double weight = kinds[k].share * kinds[k].worth;
            owed += weight;
            earned += weight * get_worth (&outage, &kinds[k], at, at, 0);
          }
      printf ("{\"bench\":\"floor\",\"from_s\":%.0f,\"worth\":%.3f}\n", start,
              earned / owed);
    }
  return 0;
}
