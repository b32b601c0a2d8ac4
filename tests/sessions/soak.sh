# A short run of the randomized soak; scripts/soak runs longer ones and other seeds.
cd "$(dirname "$0")/../.."
scripts/soak --seed 11 --slot 0 --seconds 6
