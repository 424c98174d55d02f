# Shell functions shared by the measurement scripts, which source this file.

clock_ticks=$(getconf CLK_TCK)

# metrics_of SETTINGS prints the metrics address in a settings file, and nothing for settings of stand-ins.
metrics_of() {
  sed -n 's/.*"metrics": "\([^"]*\)".*/\1/p' "$1"
}

# sample SETTINGS prints "role settings control_bytes cpu_ticks rss_kb" for the process that was started
# with the settings file.
sample() {
  role=agent
  case $1 in run/entry-*) role=entry ;; esac
  bytes=$(curl -s "http://$(metrics_of "$1")/dump" | awk -F'[:,]' '/"(sent|received)_bytes"/ {sum += $2} END {print sum + 0}')
  pid=$(pgrep -f -- "--settings $1" | head -1)
  cpu=$(awk '{print $14 + $15}' "/proc/$pid/stat")
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  echo "$role $1 $bytes $cpu $rss"
}

# sample_all samples each entry and agent of the local deployment.
sample_all() {
  for settings in run/*.json; do
    [ -z "$(metrics_of "$settings")" ] || sample "$settings"
  done
}
