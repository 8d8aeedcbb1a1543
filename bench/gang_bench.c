/*
 * Scheduling policies side by side: seeded arrivals and completions into the
 * real decision code over a virtual clock. No network, no simulator.
 * Usage: gang_bench [SEEDS [HOURS]]
 */
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "fakes/gang_mix.h"

#define SEEDS_DEFAULT 5
#define HOURS_DEFAULT 24

/** Figures of all seeds of a policy under a mix. */
typedef struct {
	double sum[MIX_FIGURE__MAX];
} total_t;

static void run_mix(mix_t mix, uint32_t seeds, uint32_t hours,
		    total_t gains[FFL_POLICY__MAX]);
static void print_figure(const char *name, double value, const char *unit,
			 mix_t mix, ffl_policy_id_t policy, uint32_t seeds);

static void print_figure(const char *name, double value, const char *unit,
			 mix_t mix, ffl_policy_id_t policy, uint32_t seeds)
{
	bench_print(name, value, unit,
		    json_pack("{s:s,s:s,s:i}", "mix", mix_name(mix), "policy",
			      ffl_policy(policy)->name, "seeds", (int)seeds));
}

/* Runs a mix under every policy and prints how much better ours is. */
static void run_mix(mix_t mix, uint32_t seeds, uint32_t hours,
		    total_t gains[FFL_POLICY__MAX])
{
	total_t totals[FFL_POLICY__MAX] = { 0 };
	const total_t *ours = &totals[FFL_POLICY_FAIR];

	for (uint32_t p = 0; p < FFL_POLICY__MAX; p++) {
		for (uint32_t seed = 1; seed <= seeds; seed++) {
			double figures[MIX_FIGURE__MAX];

			mix_run(mix, (ffl_policy_id_t)p, seed, hours, figures);
			for (uint32_t f = 0; f < MIX_FIGURE__MAX; f++)
				totals[p].sum[f] += figures[f];
		}
		for (uint32_t f = 0; f < MIX_FIGURE__MAX; f++)
			print_figure(mix_figure_name(f),
				     totals[p].sum[f] / seeds,
				     mix_figure_unit(f), mix,
				     (ffl_policy_id_t)p, seeds);
	}
	for (uint32_t p = FFL_POLICY_FCFS; p < FFL_POLICY__MAX; p++) {
		static const mix_figure_t shown[] = { MIX_COMPLETION,
						      MIX_LARGE_WAIT,
						      MIX_FRAGMENTATION };
		static const char *const names[] = { "gain_completion",
						     "gain_large_wait",
						     "gain_fragmentation" };

		for (uint32_t i = 0; i < 3; i++) {
			double base = totals[p].sum[shown[i]];
			double gain =
				base > 0
					? 100 * (1 - ours->sum[shown[i]] / base)
					: 0;

			gains[p].sum[shown[i]] += gain;
			print_figure(names[i], gain, "% better", mix,
				     (ffl_policy_id_t)p, seeds);
		}
	}
}

int main(int argc, char **argv)
{
	uint32_t seeds = argc > 1 ? (uint32_t)atoi(argv[1]) : SEEDS_DEFAULT;
	uint32_t hours = argc > 2 ? (uint32_t)atoi(argv[2]) : HOURS_DEFAULT;
	total_t gains[FFL_POLICY__MAX] = { 0 };

	for (uint32_t m = 0; m < MIX__MAX; m++)
		run_mix((mix_t)m, seeds, hours, gains);
	for (uint32_t p = FFL_POLICY_FCFS; p < FFL_POLICY__MAX; p++) {
		bench_print("mean_gain_completion",
			    gains[p].sum[MIX_COMPLETION] / MIX__MAX, "% better",
			    json_pack("{s:s}", "over", ffl_policy(p)->name));
		bench_print("mean_gain_large_wait",
			    gains[p].sum[MIX_LARGE_WAIT] / MIX__MAX, "% better",
			    json_pack("{s:s}", "over", ffl_policy(p)->name));
		bench_print("mean_gain_fragmentation",
			    gains[p].sum[MIX_FRAGMENTATION] / MIX__MAX,
			    "% better",
			    json_pack("{s:s}", "over", ffl_policy(p)->name));
	}
	return 0;
}
