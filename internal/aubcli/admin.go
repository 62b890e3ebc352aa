package aubcli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/auburndale/auburndale/pkg/aubclient"
)

const (
	defaultAdminURL = "http://127.0.0.1:8081"

	// credentialEnv is the environment variable with the path of the operator's
	// credential file.
	credentialEnv = "AUBURNDALE_CREDENTIAL_FILE"
)

// streams holds the standard output and standard error of a command.
type streams struct {
	out, errOut io.Writer
}

// usageError prints the fault and returns flag.ErrHelp, which makes the program print
// the command's help and exit with ExitUsage.
func (s streams) usageError(format string, args ...any) error {
	fmt.Fprintf(s.errOut, "auburndale: "+format+"\n", args...)
	return flag.ErrHelp
}

// warnUnconfirmed warns that a response is not confirmed by the leader.
func (s streams) warnUnconfirmed() {
	fmt.Fprintln(s.errOut, "auburndale: the control leader can't be reached from there; this answer may be old")
}

// parseInterspersed parses flags after or between the operands, which the flag package
// does not parse, and returns the operands.
func (s streams) parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var operands []string
	for len(args) > 0 {
		if args[0] == "-" || !strings.HasPrefix(args[0], "-") {
			operands = append(operands, args[0])
			args = args[1:]
			continue
		}
		if err := fs.Parse(args); err != nil {
			// The flag package has printed the error.
			return nil, flag.ErrHelp
		}
		args = fs.Args()
	}
	return operands, nil
}

func (s streams) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.errOut)
	return fs
}

// adminFlags holds the flags of the commands that call the administration API.
type adminFlags struct {
	url            string
	credentialFile string
}

func (f *adminFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.url, "admin", defaultAdminURL, "address of the administration listener")
	fs.StringVar(&f.credentialFile, "credential_file", os.Getenv(credentialEnv),
		"file that holds the operator's credential; the default is the value of "+credentialEnv)
}

// newClient returns a client of the administration API. Errors name the flag at fault.
func (f *adminFlags) newClient(s streams) (*aubclient.Client, error) {
	adminURL, err := url.Parse(f.url)
	if err != nil || adminURL.Host == "" || (adminURL.Scheme != "http" && adminURL.Scheme != "https") {
		return nil, s.usageError("-admin is %q; allowed is an address such as %s", f.url, defaultAdminURL)
	}
	if f.credentialFile == "" {
		return nil, s.usageError("-credential_file is missing; name the file that holds the operator's credential")
	}
	credential, err := os.ReadFile(f.credentialFile)
	if err != nil {
		return nil, fmt.Errorf("-credential_file: %w", err)
	}
	text := strings.TrimSpace(string(credential))
	if text == "" {
		return nil, errors.New("-credential_file: " + f.credentialFile + " is empty")
	}
	return aubclient.NewClient(aubclient.ClientOpts{BaseURL: f.url, Credential: text, OnUnconfirmed: s.warnUnconfirmed}), nil
}
