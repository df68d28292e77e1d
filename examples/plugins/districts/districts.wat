;; Tags each request with its employer's district, from the table `district` in the plug-in's settings.
;; The engine can load this text directly; `api-gateway plugin build` assembles it to a .wasm file.
(module
  (import "calicomast" "setting" (func $setting (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "count" (func $count (param i32 i32 f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))

  (data (i32.const 0) "district/")        ;; path of a setting, followed by the customer
  (data (i32.const 512) "tag district ")  ;; proposal, followed by the district
  (data (i32.const 1024) "unknown")       ;; name of a counter

  (func (export "on_request") (param $length i32) (result i64)
    (local $customer_address i32) (local $customer_length i32) (local $district_length i32)
    ;; The string table starts at byte 56 of the input; the customer is its second entry.
    (local.set $customer_address (i32.load (i32.const 4160)))
    (local.set $customer_length (i32.load (i32.const 4164)))
    (if (i32.gt_u (local.get $customer_length) (i32.const 64)) (then (return (i64.const 0))))
    (memory.copy (i32.const 9) (local.get $customer_address) (local.get $customer_length))
    (local.set $district_length
      (call $setting (i32.const 0) (i32.add (i32.const 9) (local.get $customer_length))
                     (i32.const 525) (i32.const 128)))
    (if (i32.or (i32.lt_s (local.get $district_length) (i32.const 1))
                (i32.gt_s (local.get $district_length) (i32.const 128)))
      (then
        (call $count (i32.const 1024) (i32.const 7) (f64.const 1))
        (return (i64.const 0))))
    ;; The upper half is the address, 512; the lower half is the length.
    (i64.or (i64.const 0x20000000000) (i64.extend_i32_u (i32.add (i32.const 13) (local.get $district_length)))))

  (func (export "self_test") (result i32) (i32.const 0)))
