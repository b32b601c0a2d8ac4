# Short run of the randomized soak test; scripts/soak has options for other seeds and durations.
cd "$(dirname "$0")/../.."
scripts/soak --seed 11 --slot 0 --seconds 6
