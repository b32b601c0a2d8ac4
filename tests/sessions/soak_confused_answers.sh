# The randomized soak test with servers that answer twice, without a length, or continue streams
# elsewhere than asked.
cd "$(dirname "$0")/../.."
scripts/soak --seed 6101 --slot 1 --seconds 6 --confuse-answers
