# The randomized soak test with engines that continue streams elsewhere than asked and send events
# twice.
cd "$(dirname "$0")/../.."
scripts/soak --seed 6103 --slot 1 --seconds 6 --disorder-streams
