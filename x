note: --why "what you try and what you expect" goes into the journal with the result
built in 10.3 s; 49203 lines in 236 files
fleetbench: /tmp/s1.txt: TOML parse error at line 1, column 7
  |
1 | built in 0.0 s; 49113 lines in 236 files
  |       ^
expected `.`, `=`

