# Reporting of results for checks written in shell; to be sourced.
status=0 # exit status of the check, 1 after a failure

# report CODE NAME: prints the result of a test in the format of cmocka, which
# tests/run parses. CODE is 0 when the test passed.
report() {
	if [ "$1" -eq 0 ]; then
		echo "[       OK ] $2"
	else
		echo "[  FAILED  ] $2"
		status=1
	fi
}
