package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestInvalidConfigExitsWithOneLineError guards against a program that starts with
// an invalid configuration, or whose error message is not a single line that names
// the missing key.
func TestInvalidConfigExitsWithOneLineError(t *testing.T) {
	out, err := newProgram(t, `{"settings":{}}`).CombinedOutput()
	if _, ok := err.(*exec.ExitError); !ok || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
		t.Errorf("the program exits with %v and prints %q, want a non-zero status and one line that names listen", err, out)
	}
}

// logLines returns a channel with the lines of a program's log. The channel is
// closed at the end of the log.
func logLines(log io.Reader) <-chan string {
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// awaitLog reads the log until a line contains text. It fails the test if the log
// ends before that, or after 30 s.
func awaitLog(t *testing.T, lines <-chan string, text string) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case line, open := <-lines:
			if strings.Contains(line, text) {
				return
			}
			if !open {
				t.Fatalf("the program exited without logging %q", text)
			}
		case <-timeout:
			t.Fatalf("the program has not logged %q within 30 s", text)
		}
	}
}

// TestServesUntilSIGTERM guards against a program that a reload ends or makes
// unready, or that does not exit with status 0 after SIGTERM. SIGHUP reloads the
// configuration first with a new discovery address, and then with invalid JSON,
// which is logged and otherwise ignored.
func TestServesUntilSIGTERM(t *testing.T) {
	listen := freeAddress(t)
	discoveries := [2]string{silentAddress(t), silentAddress(t)}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},
		"known":{"index":1,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}}`, listen, discoveries[0], discoveries[0])
	cmd := newProgram(t, config)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := logLines(stderr)
	for until := time.Now().Add(30 * time.Second); !isReady(http.DefaultClient, listen); time.Sleep(5 * time.Millisecond) {
		select {
		case line, open := <-lines:
			if !open {
				t.Fatal("the program exited before it was ready")
			}
			t.Logf("the program logs %q", line)
		default:
		}
		if time.Now().After(until) {
			t.Fatal("the program is not ready within 30 s")
		}
	}
	for _, c := range []struct{ config, logged string }{
		{strings.Replace(config, discoveries[0], discoveries[1], 1), "discovery has moved"},
		{"{", "not reloaded"},
	} {
		if err := os.WriteFile(configPath(cmd), []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		mustSignal(t, cmd, syscall.SIGHUP)
		awaitLog(t, lines, c.logged)
	}
	if !isReady(http.DefaultClient, listen) {
		t.Error("not ready after two reloads")
	}
	mustSignal(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program exits with %v, want status 0", err)
	}
}

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// TestLoadRetriesWhileTheFileIsReplaced guards against a reload that fails because
// SIGHUP arrives while the file is incomplete or missing in the middle of being
// replaced, and against one that retries without end on a file that stays invalid.
func TestLoadRetriesWhileTheFileIsReplaced(t *testing.T) {
	const config = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","settings":{}}`
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config[:30])
	waits := 0
	cfg, err := loadConfigRetrying(path, func() {
		waits++
		switch waits {
		case 1:
			os.Remove(path)
		case 2:
			write(config)
		}
	})
	if err != nil || cfg.Discovery != "127.0.0.1:2" || waits != 2 {
		t.Errorf("a file that is being replaced: loaded %+v with error %v after %d waits, want discovery 127.0.0.1:2 after 2", cfg, err, waits)
	}
	write("{")
	waits = 0
	if _, err := loadConfigRetrying(path, func() { waits++ }); err == nil || waits == 0 || waits > 20 {
		t.Errorf("a file that stays invalid: error %v after %d waits, want an error after 1 to 20", err, waits)
	}
}
