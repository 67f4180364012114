# Sourced by the checks that are shell scripts.
status=0 # 1 after a failure

# Prints a result as cmocka does, which tests/run reads: report CODE NAME.
report() {
	if [ "$1" -eq 0 ]; then
		echo "[       OK ] $2"
	else
		echo "[  FAILED  ] $2"
		status=1
	fi
}
