#!/usr/bin/env bash
# Writes the settings of all VMs of a deployment: settings.sh examples/threadbare OUT
set -euo pipefail
site=$1
out=$2
mkdir -p "$out"
while read -r vm domain addr; do
    sed -e "s/@VM@/$vm/" -e "s/@DOMAIN@/$domain/" -e "s/@ADDR@/$addr/" "$site/vm.yaml.in" >"$out/$vm.yaml"
done < <(grep -v '^#' "$site/vms.txt")
