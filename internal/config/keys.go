package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// keys are the paths of all that an object holds, such as "settings.requestClasses[].name". In an array, a path counts if
// all elements have it. A null counts as a key that is missing, since it would be read as 0.
func keys(v any) map[string]bool {
	all := map[string]bool{}
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if inner == nil {
				continue
			}
			all[name] = true
			for path := range keys(inner) {
				if !strings.HasPrefix(path, "[]") {
					path = "." + path
				}
				all[name+path] = true
			}
		}
	case []any:
		for i, element := range v {
			inner := keys(element)
			if i == 0 {
				for path := range inner {
					all["[]."+path] = true
				}
				all["[]"] = true
			}
			maps.DeleteFunc(all, func(path string, _ bool) bool { return path != "[]" && !inner[strings.TrimPrefix(path, "[].")] })
		}
	}
	return all
}

// Tags of fields: any file may lack the key, an operator's may, which can stand alone, or what it holds is checked elsewhere.
const needOptional, needPlatform, needShallow = "optional", "platform", "shallow"

// missing names the first key that a type wants and an object lacks.
func missing(t reflect.Type, at string, have map[string]bool, ofPlatform bool) string {
	for _, f := range reflect.VisibleFields(t) {
		name, need := f.Tag.Get("json"), f.Tag.Get("need")
		if name == "" || need == needOptional || need == needPlatform && !ofPlatform {
			continue
		}
		path := at + name
		if !have[path] {
			return path
		}
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		path += "."
		if inner.Kind() == reflect.Slice {
			inner, path = inner.Elem(), at+name+"[]."
			if !have[at+name+"[]"] {
				continue
			}
		}
		if inner.Kind() == reflect.Struct && need != needShallow {
			if lost := missing(inner, path, have, ofPlatform); lost != "" {
				return lost
			}
		}
	}
	return ""
}

// Follow reports whether a configuration may take the place of an earlier one: it must not lack a key that was there. The
// list that is known at the start may have other events.
func (c *Config) Follow(earlier *Config) error {
	for _, path := range slices.Sorted(maps.Keys(earlier.keys)) {
		if !c.keys[path] && !strings.HasPrefix(path, "known.") && !strings.HasSuffix(path, "[]") {
			return fmt.Errorf("configuration: %s is missing, which was there", path)
		}
	}
	return nil
}
