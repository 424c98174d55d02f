// Package settings reads the settings of a program from a JSON file with comments and from command-line
// flags, which override the file. Each program in cmd calls it once at start-up.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"
)

var namespace = errorx.NewNamespace("settings")

// The error types of the package.
var (
	// ErrRead means that the settings file cannot be read.
	ErrRead = namespace.NewType("read")
	// ErrSyntax means that the file is not valid JSON with comments, or contains an unknown setting, a value
	// of the wrong type or more than one JSON value.
	ErrSyntax = namespace.NewType("syntax")
	// ErrValue means that a setting has an invalid value.
	ErrValue = namespace.NewType("value")
	// ErrUsage means that the command line is invalid.
	ErrUsage = namespace.NewType("usage")
)

// fileFlag is the flag that names the settings file.
type fileFlag struct {
	File string `long:"settings" value-name:"FILE" description:"settings in JSON with comments"`
}

// Load fills into, a pointer to a struct, from the file named by --settings and then from the flags in args.
// The fields of the struct have json tags for the file and go-flags tags for the command line. It returns
// ErrRead, ErrSyntax or ErrUsage, or the help error of go-flags when args ask for help.
func Load(program string, args []string, into any) error {
	var file fileFlag
	fileParser := flags.NewNamedParser(program, flags.IgnoreUnknown)
	if _, err := fileParser.AddGroup("Settings", "", &file); err != nil {
		return ErrUsage.WrapWithNoMessage(err)
	}
	if _, err := fileParser.ParseArgs(args); err != nil {
		return ErrUsage.WrapWithNoMessage(err)
	}
	if file.File != "" {
		if err := loadFile(file.File, into); err != nil {
			return err
		}
	}
	return parseFlags(program, args, &file, into)
}

func parseFlags(program string, args []string, file *fileFlag, into any) error {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for name, group := range map[string]any{"Settings": file, "Overrides": into} {
		if _, err := parser.AddGroup(name, "", group); err != nil {
			return ErrUsage.WrapWithNoMessage(err)
		}
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		return err
	}
	if err != nil {
		return ErrUsage.WrapWithNoMessage(err)
	}
	if len(rest) > 0 {
		return ErrUsage.New("argument %q is not expected", rest[0])
	}
	return nil
}

func loadFile(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return ErrRead.Wrap(err, "settings file %q cannot be read", name)
	}
	return Decode(name, data, into)
}

// Decode parses JSON with comments into a struct. It returns ErrSyntax for malformed text and unknown fields;
// name is the file name in the error.
func Decode(name string, data []byte, into any) error {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return ErrSyntax.Wrap(err, "file %q", name)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return ErrSyntax.Wrap(err, "file %q", name)
	}
	if decoder.More() {
		return ErrSyntax.New("file %q has text after the settings", name)
	}
	return nil
}

// CheckAddress returns ErrValue unless value is ip:port with a port other than 0.
func CheckAddress(setting, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return ErrValue.New("setting %q: %q is not ip:port", setting, value)
	}
	if address.Port() == 0 {
		return ErrValue.New("setting %q: %q has no port", setting, value)
	}
	return nil
}

// CheckAtLeast returns ErrValue when value is below least.
func CheckAtLeast(setting string, value, least int) error {
	if value < least {
		return ErrValue.New("setting %q: %d is below %d", setting, value, least)
	}
	return nil
}

// CheckName returns ErrValue when value is empty.
func CheckName(setting, value string) error {
	if value == "" {
		return ErrValue.New("setting %q is missing", setting)
	}
	return nil
}
