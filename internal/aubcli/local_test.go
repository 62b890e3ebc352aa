package aubcli

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/pkg/aubapi"
	"github.com/auburndale/auburndale/pkg/aubclient"
)

// adminFlagsPattern matches the flags of the ticket command that the local site prints.
var adminFlagsPattern = regexp.MustCompile(`--admin (http://\S+) --credential_file (\S+)`)

// startLocal starts the local site in a separate process and waits until it prints its
// address.
func startLocal(t *testing.T, listen, dir string) (*exec.Cmd, string) {
	out := &logBuffer{}
	cmd := exec.Command(os.Args[0], "local", "--listen", listen, "--data_dir", dir)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	cmd.Stdout, cmd.Stderr = out, out
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	eventually(t, "local site prints its address", func() bool { return adminFlagsPattern.MatchString(out.String()) })
	return cmd, out.String()
}

// TestLocalSiteRecoversFromKill kills the process of the local site and restarts it on
// the same data folder: accepted tickets must be kept and the models must respond.
func TestLocalSiteRecoversFromKill(t *testing.T) {
	listen, dir := addressPicker{}.next(), t.TempDir()
	cmd, printed := startLocal(t, listen, dir)
	qt.Check(t, strings.Contains(printed, "curl http://"+listen+"/v1/chat/completions"), qt.IsTrue, qt.Commentf("%s", printed))
	match := adminFlagsPattern.FindStringSubmatch(printed)
	credential, err := os.ReadFile(match[2])
	qt.Assert(t, err, qt.IsNil)
	client := aubclient.NewClient(aubclient.ClientOpts{BaseURL: match[1], Credential: string(credential)})
	outcome, err := client.ApplyTicket(context.Background(), aubapi.Ticket{
		Number: 2, Workspaces: []aubapi.Workspace{{Name: "late", Rate: 1, Burst: 10}},
	}, time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)

	qt.Assert(t, cmd.Process.Kill(), qt.IsNil)
	_ = cmd.Wait()
	startLocal(t, listen, dir)
	outcome, err = client.Ticket(context.Background(), 2)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)
	for _, model := range []string{"example-small", "example-large"} {
		eventually(t, model+" responds", func() bool { return callModel(listen, model, 2, true).complete() })
	}
}

// TestLocalRefusesOtherAddresses starts the local site on addresses that are not a
// loopback IP address with a port.
func TestLocalRefusesOtherAddresses(t *testing.T) {
	for _, listen := range []string{"0.0.0.0:8080", "10.0.0.1:8080", "localhost:8080", "8080"} {
		var out, errOut bytes.Buffer
		code := Run([]string{"local", "--listen", listen, "--data_dir", filepath.Join(t.TempDir(), "data")}, &out, &errOut)
		qt.Check(t, code, qt.Equals, ExitUsage)
		qt.Check(t, strings.Contains(errOut.String(), listen), qt.IsTrue, qt.Commentf("%s", errOut.String()))
	}
}
