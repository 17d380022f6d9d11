package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printJSON prints a message with the field names of the schema.
func printJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	_, err = fmt.Fprintln(stdout, string(data))
	return err
}

// printResult prints named values, sorted by name.
func printResult(values map[string]any) error {
	if global.Output == "json" {
		return json.NewEncoder(stdout).Encode(values)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(stdout, "%s: %v\n", name, values[name])
	}
	return nil
}

func printTable(header []string, rows int, row func(int) []any) {
	w := tabwriter.NewWriter(stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for i := range rows {
		format := strings.TrimSuffix(strings.Repeat("%v\t", len(header)), "\t") + "\n"
		fmt.Fprintf(w, format, row(i)...)
	}
	_ = w.Flush()
	fmt.Fprintln(stdout)
}

// enumName returns an enum value in lower case without its prefix.
func enumName(prefix, value string) string {
	return strings.ToLower(strings.TrimPrefix(value, prefix))
}
